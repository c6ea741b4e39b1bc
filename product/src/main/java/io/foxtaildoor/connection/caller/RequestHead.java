package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.version.routing.Route;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * A checked request head with its route.
 *
 * @param message what is sent to the other node, without remaining time and attempt
 * @param service the service that this request goes to
 * @param deadlineNanos monotonic time of the deadline
 * @param objectiveNanos monotonic time until which an answer has its full worth, if it is stated
 * @param hasBody whether a body, possibly an empty chunked one, follows
 * @param hasSmallBody whether a body of known, small length follows without waiting for a 100
 * @param expectsContinue whether the caller waits for a 100 before it sends the body
 */
record RequestHead(
    RequestStart message,
    Route route,
    ServiceId service,
    long deadlineNanos,
    OptionalLong objectiveNanos,
    boolean hasBody,
    boolean hasSmallBody,
    boolean expectsContinue) {
  private static final int PERMILLE = 1_000;

  /** Largest rest of a body that is read only to keep the connection. */
  static final int MAX_SMALL_BODY_BYTES = 64 * 1024;

  String requestId() {
    return message.getRequestId();
  }

  /**
   * The head of an attempt as it is sent to the other node.
   *
   * @param repeatShare probability that the attempt is a repeat, from 0 to 1
   */
  RequestStart toRequestStart(int number, double repeatShare, boolean bodyFollows, long nowNanos) {
    RequestStart.Builder start =
        RequestStart.newBuilder(message)
            .setAttempt(number)
            .setRepeatPermille((int) (repeatShare * PERMILLE))
            .setRemainingMicros(
                Math.max(1, TimeUnit.NANOSECONDS.toMicros(deadlineNanos - nowNanos)))
            .setEnd(!bodyFollows);
    objectiveNanos.ifPresent(
        objective ->
            start
                .setHasObjective(true)
                .setObjectiveMicros(TimeUnit.NANOSECONDS.toMicros(objective - nowNanos)));
    return start.build();
  }

  /** Whether the request is bound to one instance by its idempotency key. */
  boolean usesIdempotencyKey() {
    return !route.idempotent() && !message.getIdempotencyKey().isEmpty();
  }
}
