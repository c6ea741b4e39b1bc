package io.foxtaildoor.process.node;

/** What a node does with the platform: finds other nodes there and reads the configuration. */
interface PlatformConnector {
  /** Starts; called once, after membership was started. */
  void start();

  /** Stops reading and gives back what is held on the platform. */
  void stop();

  /** Closes all connections. */
  void close();
}
