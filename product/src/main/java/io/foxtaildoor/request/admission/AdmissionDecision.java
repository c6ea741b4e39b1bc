package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.ErrorKind;
import java.util.Optional;

/**
 * Result of offering a request to an {@link AdmissionQueue}: the ticket of a queued request, or the
 * kind of error with which it was refused.
 *
 * @param detail human-readable reason of a refusal; empty for a queued request
 */
public record AdmissionDecision<T>(
    Optional<Ticket<T>> ticket, Optional<ErrorKind> refusal, String detail) {
  static <T> AdmissionDecision<T> queued(Ticket<T> ticket) {
    return new AdmissionDecision<>(Optional.of(ticket), Optional.empty(), "");
  }

  static <T> AdmissionDecision<T> refused(ErrorKind kind, String detail) {
    return new AdmissionDecision<>(Optional.empty(), Optional.of(kind), detail);
  }
}
