package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Hello;
import java.util.Optional;

/** Checks the hello frame of the other side. */
final class Handshake {
  /** The only protocol version that this build supports. */
  static final int PROTOCOL_VERSION = 1;

  private Handshake() {}

  /** Returns the reason to refuse the node that opened a connection, or empty to accept it. */
  static Optional<String> checkOpener(LinkIdentity self, Hello hello) {
    String expected = hello.getExpectedNodeId();
    if (!expected.isEmpty() && !expected.equals(self.nodeId().value())) {
      return Optional.of("this is node " + self.nodeId() + ", not " + expected);
    }
    return checkClusterAndProtocol(self, hello);
  }

  /**
   * Returns the reason to refuse the node that accepted a connection, or empty to accept it.
   *
   * @param expectedNodeId id that the node must have; empty to accept any node
   */
  static Optional<String> checkAcceptor(LinkIdentity self, Hello hello, String expectedNodeId) {
    if (!expectedNodeId.isEmpty() && !expectedNodeId.equals(hello.getNodeId())) {
      return Optional.of(
          "connected to node " + hello.getNodeId() + " instead of " + expectedNodeId);
    }
    return checkClusterAndProtocol(self, hello);
  }

  private static Optional<String> checkClusterAndProtocol(LinkIdentity self, Hello hello) {
    if (!hello.getCluster().equals(self.cluster())) {
      return Optional.of("the other node belongs to cluster \"" + hello.getCluster() + "\"");
    }
    if (hello.getMinProtocol() > PROTOCOL_VERSION || hello.getMaxProtocol() < PROTOCOL_VERSION) {
      return Optional.of(
          "no common protocol version: "
              + hello.getMinProtocol()
              + " to "
              + hello.getMaxProtocol()
              + " offered, "
              + PROTOCOL_VERSION
              + " supported");
    }
    return Optional.empty();
  }
}
