package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Frame;

/** Handles one kind of control request from other nodes. Runs on an event loop; must not block. */
@FunctionalInterface
public interface ControlHandler {
  /** Returns the reply to a request. */
  Frame handle(Frame request);
}
