package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.audit.AuditEntry;
import io.foxtaildoor.process.audit.AuditKind;

/** Records what operators did in the audit trail. */
final class AuditRecorder {
  private final ApprovalEnvironment environment;

  AuditRecorder(ApprovalEnvironment environment) {
    this.environment = environment;
  }

  /**
   * Records an action. A full queue loses the entry, which the trail logs; the action stands.
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

  /** Records an action whose write may or may not have taken effect; other errors are not it. */
  void recordUnknownOutcome(
      AuditKind kind, Operator operator, String team, String digest, String id, Throwable error) {
    if (Failures.kindOf(error) == ErrorKind.PLATFORM_OUTCOME_UNKNOWN) {
      recordAction(kind, operator, team, 0, digest, id, "outcome unknown, write id " + id);
    }
  }

  /** Records a refused request. */
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

  /** Replaces an unknown outcome, after which nothing has changed, by unavailability. */
  static FoxtaildoorException toUnavailable(Throwable error) {
    return new FoxtaildoorException(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "the platform did not confirm the part; nothing was accepted",
        error);
  }
}
