package io.foxtaildoor.process.node;

/** Connects a node to the platform, where it finds other nodes and reads the configuration. */
interface PlatformConnector {
  /** Starts reading the platform. Called once, after membership has been started. */
  void start();

  /** Stops reading, and releases the reader lease if one is held on the platform. */
  void stop();

  /** Closes all connections to the platform. */
  void close();
}
