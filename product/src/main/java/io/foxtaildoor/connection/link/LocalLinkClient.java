package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.protocol.RequestStart;
import io.netty.channel.EventLoopGroup;

/** Hands requests for the node's own upstream over within the process; others go over links. */
public final class LocalLinkClient implements LinkClient {
  private final NodeId self;
  private final StreamAcceptor localAcceptor;
  private final LinkClient links;
  private final EventLoopGroup group;

  /**
   * Creates a client.
   *
   * @param local takes the requests for the node's own upstream
   * @param links takes all others
   */
  public LocalLinkClient(
      NodeId self, StreamAcceptor local, LinkClient links, EventLoopGroup group) {
    this.self = self;
    this.localAcceptor = local;
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
