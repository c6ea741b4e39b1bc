package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Hello;
import java.util.Optional;

/** Checks the first frame of the other side. */
final class Handshake {
  /** The one protocol version that this build speaks. */
  static final int PROTOCOL_VERSION = 1;

  private Handshake() {}

  /** Gives the reason to refuse the opener of a connection; empty when it is accepted. */
  static Optional<String> checkOpener(LinkIdentity self, Hello hello) {
    String expected = hello.getExpectedNodeId();
    if (!expected.isEmpty() && !expected.equals(self.nodeId().value())) {
      return Optional.of("this is node " + self.nodeId() + ", not " + expected);
    }
    return checkClusterAndProtocol(self, hello);
  }

  /** Gives the reason to refuse the acceptor; an empty expected id admits every node. */
  static Optional<String> checkAcceptor(LinkIdentity self, Hello hello, String expectedNodeId) {
    if (!expectedNodeId.isEmpty() && !expectedNodeId.equals(hello.getNodeId())) {
      return Optional.of("reached node " + hello.getNodeId() + " instead of " + expectedNodeId);
    }
    return checkClusterAndProtocol(self, hello);
  }

  private static Optional<String> checkClusterAndProtocol(LinkIdentity self, Hello hello) {
    if (!hello.getCluster().equals(self.cluster())) {
      return Optional.of("node belongs to cluster \"" + hello.getCluster() + "\"");
    }
    if (hello.getMinProtocol() > PROTOCOL_VERSION || hello.getMaxProtocol() < PROTOCOL_VERSION) {
      return Optional.of(
          "no common protocol version: "
              + hello.getMinProtocol()
              + " to "
              + hello.getMaxProtocol()
              + " offered, "
              + PROTOCOL_VERSION
              + " spoken");
    }
    return Optional.empty();
  }
}
