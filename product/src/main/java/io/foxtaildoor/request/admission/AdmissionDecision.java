package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.ErrorKind;
import java.util.Optional;

/**
 * Decision on an offered request: a ticket, or the kind of its refusal.
 *
 * @param detail reason of a refusal for people
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
