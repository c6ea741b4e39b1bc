package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Frame;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Sends control requests to other nodes. */
@FunctionalInterface
public interface ControlCaller {
  /**
   * Sends one request frame and returns the future of its reply.
   *
   * @return the reply; completes with a {@link io.foxtaildoor.common.FoxtaildoorException} when the
   *     node cannot be reached, does not answer in time or answers with an error frame
   */
  CompletableFuture<Frame> call(InetSocketAddress address, Frame request);
}
