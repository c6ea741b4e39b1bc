package io.foxtaildoor.process.audit;

import io.foxtaildoor.protocol.AuditKindCode;

/** What an audit entry records. */
public enum AuditKind {
  /** The first questionnaire of a team. */
  SUBMISSION(AuditKindCode.AUDIT_SUBMISSION),
  /** A changed questionnaire. */
  AMENDMENT(AuditKindCode.AUDIT_AMENDMENT),
  /** A configuration was accepted, or its acceptance could not be settled. */
  APPROVAL(AuditKindCode.AUDIT_APPROVAL),
  /** A request of an operator was refused. */
  REFUSAL(AuditKindCode.AUDIT_REFUSAL),
  /** A version came into force. */
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
