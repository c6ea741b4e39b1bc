package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.audit.AuditEntry;
import io.foxtaildoor.process.audit.AuditKind;

/** Records operators' actions in the audit trail. */
final class AuditRecorder {
  private final ApprovalEnvironment environment;

  AuditRecorder(ApprovalEnvironment environment) {
    this.environment = environment;
  }

  /**
   * Records an action. If the queue is full, the entry is dropped and the audit trail logs this;
   * the action itself remains in effect.
   *
   * @param id write id of the action
   */
  void recordAction(
      AuditKind kind,
      Operator operator,
      String team,
      long version,
      String digest,
      String id,
      String detail) {
    environment
        .audit()
        .record(
            new AuditEntry(
                id,
                kind,
                operator.name(),
                operator.member().value(),
                team,
                version,
                digest,
                environment.epochMillis().getAsLong(),
                detail));
  }

  /** Records an action if the outcome of its write is unknown; ignores all other errors. */
  void recordUnknownOutcome(
      AuditKind kind, Operator operator, String team, String digest, String id, Throwable error) {
    if (Failures.kindOf(error) == ErrorKind.PLATFORM_OUTCOME_UNKNOWN) {
      recordAction(kind, operator, team, 0, digest, id, "outcome unknown, write id " + id);
    }
  }

  /** Records that an operator's request was refused. */
  void recordRefusal(String operator, String member, String team, String detail) {
    environment
        .audit()
        .record(
            new AuditEntry(
                environment.uniqueId(),
                AuditKind.REFUSAL,
                operator,
                member,
                team,
                0,
                "",
                environment.epochMillis().getAsLong(),
                detail));
  }

  /**
   * Converts an error of writing a part to {@link ErrorKind#PLATFORM_UNAVAILABLE}. Even if the
   * outcome of that write is unknown, nothing was accepted, because the head was not written.
   */
  static FoxtaildoorException toUnavailable(Throwable error) {
    return new FoxtaildoorException(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "the platform did not confirm the write of the part; nothing was accepted",
        error);
  }
}
