package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Hello;
import java.util.Optional;

/** Checks the first frame of the other side. */
final class Handshake {
  /** The one protocol version that this build speaks. */
  static final int PROTOCOL = 1;

  private Handshake() {}

  /** Gives the reason to refuse the opener of a connection; empty when it is accepted. */
  static Optional<String> refuseOpener(LinkIdentity self, Hello hello) {
    String expected = hello.getExpectedNodeId();
    if (!expected.isEmpty() && !expected.equals(self.nodeId().value())) {
      return Optional.of("this is node " + self.nodeId() + ", not " + expected);
    }
    return refuse(self, hello);
  }

  /** Gives the reason to refuse the acceptor; an empty expected id admits every node. */
  static Optional<String> refuseAcceptor(LinkIdentity self, Hello hello, String expectedNodeId) {
    if (!expectedNodeId.isEmpty() && !expectedNodeId.equals(hello.getNodeId())) {
      return Optional.of("reached node " + hello.getNodeId() + " instead of " + expectedNodeId);
    }
    return refuse(self, hello);
  }

  private static Optional<String> refuse(LinkIdentity self, Hello hello) {
    if (!hello.getCluster().equals(self.cluster())) {
      return Optional.of("node belongs to cluster \"" + hello.getCluster() + "\"");
    }
    if (hello.getMinProtocol() > PROTOCOL || hello.getMaxProtocol() < PROTOCOL) {
      return Optional.of(
          "no common protocol version: "
              + hello.getMinProtocol()
              + " to "
              + hello.getMaxProtocol()
              + " offered, "
              + PROTOCOL
              + " spoken");
    }
    return Optional.empty();
  }
}
