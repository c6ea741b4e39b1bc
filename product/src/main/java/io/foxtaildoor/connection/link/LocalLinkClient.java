package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.protocol.RequestStart;
import io.netty.channel.EventLoopGroup;

/**
 * Passes requests for the local node's upstream to it within the process, and all other requests to
 * links.
 */
public final class LocalLinkClient implements LinkClient {
  private final NodeId self;
  private final StreamAcceptor localAcceptor;
  private final LinkClient links;
  private final EventLoopGroup group;

  /**
   * Creates a client for local and remote requests.
   *
   * @param localAcceptor receives the requests for the local node's upstream
   * @param links receives the requests for all other nodes
   */
  public LocalLinkClient(
      NodeId self, StreamAcceptor localAcceptor, LinkClient links, EventLoopGroup group) {
    this.self = self;
    this.localAcceptor = localAcceptor;
    this.links = links;
    this.group = group;
  }

  @Override
  public RequestStream open(NodeRecord target, RequestStart head, ResponseListener listener) {
    if (!target.id().equals(self)) {
      return links.open(target, head, listener);
    }
    LocalStream stream = new LocalStream(group.next(), listener);
    stream.setRequestListener(localAcceptor.accept(head, stream.upstreamEnd()));
    return stream.callerEnd();
  }

  @Override
  public void close() {
    links.close();
  }
}
