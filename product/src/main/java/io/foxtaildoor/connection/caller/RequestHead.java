package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.version.routing.Route;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * A validated request head with its route.
 *
 * @param message message for the upstream's node, without the fields that differ between attempts,
 *     such as the remaining time and the attempt number
 * @param service service that the request is sent to
 * @param deadlineNanos deadline in monotonic nanoseconds
 * @param objectiveNanos time in monotonic nanoseconds until which a response has its full value, if
 *     the route states an objective
 * @param hasBody whether a body follows, which may be an empty chunked body
 * @param hasSmallBody whether the body has a known, small length and the caller sends it without
 *     waiting for a 100 (Continue) response
 * @param expectsContinue whether the caller waits for a 100 (Continue) response before it sends the
 *     body
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

  /** Largest body in bytes that is read and discarded to keep the connection open. */
  static final int MAX_SMALL_BODY_BYTES = 64 * 1024;

  String requestId() {
    return message.getRequestId();
  }

  /**
   * Returns the message that starts an attempt on the upstream's node.
   *
   * @param repeatProbability probability, from 0 to 1, that the attempt is a retry
   */
  RequestStart toRequestStart(
      int number, double repeatProbability, boolean bodyFollows, long nowNanos) {
    RequestStart.Builder start =
        RequestStart.newBuilder(message)
            .setAttempt(number)
            .setRepeatPermille((int) (repeatProbability * PERMILLE))
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

  /**
   * Returns whether the idempotency key binds the request to one instance. Keys of idempotent
   * routes are ignored.
   */
  boolean usesIdempotencyKey() {
    return !route.idempotent() && !message.getIdempotencyKey().isEmpty();
  }
}
