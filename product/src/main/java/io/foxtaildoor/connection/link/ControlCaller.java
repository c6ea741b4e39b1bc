package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Frame;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Sends one control frame to another node and gives its reply. */
@FunctionalInterface
public interface ControlCaller {
  /**
   * Calls another node.
   *
   * @return the reply; completes with a {@link io.foxtaildoor.common.FoxtaildoorException} when the
   *     node cannot be reached, does not answer in time or answers with an error frame
   */
  CompletableFuture<Frame> call(InetSocketAddress address, Frame request);
}
