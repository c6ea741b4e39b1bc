package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Frame;

/** Answers control frames of one kind from other nodes; must not block. */
@FunctionalInterface
public interface ControlHandler {
  /** Gives the reply to a request. */
  Frame handle(Frame request);
}
