package io.foxtaildoor.process.audit;

import io.foxtaildoor.protocol.AuditKindCode;

/** Type of event that an audit entry records. */
public enum AuditKind {
  /** A team's first questionnaire was submitted. */
  SUBMISSION(AuditKindCode.AUDIT_SUBMISSION),
  /** A questionnaire was replaced by a new revision. */
  AMENDMENT(AuditKindCode.AUDIT_AMENDMENT),
  /** A configuration was accepted, or the outcome of its approval could not be determined. */
  APPROVAL(AuditKindCode.AUDIT_APPROVAL),
  /** A request of an operator was refused. */
  REFUSAL(AuditKindCode.AUDIT_REFUSAL),
  /** A configuration version came into force. */
  APPLICATION(AuditKindCode.AUDIT_APPLICATION),
  /** An operator record was created. */
  OPERATOR_CREATION(AuditKindCode.AUDIT_OPERATOR_CREATION);

  private final AuditKindCode code;

  AuditKind(AuditKindCode code) {
    this.code = code;
  }

  AuditKindCode code() {
    return code;
  }

  static AuditKind of(AuditKindCode code) {
    for (AuditKind kind : values()) {
      if (kind.code == code) {
        return kind;
      }
    }
    return REFUSAL;
  }
}
