package io.foxtaildoor.process.audit;

import io.foxtaildoor.protocol.AuditEntryMessage;

/**
 * One entry of the audit trail. Strings that do not apply are empty.
 *
 * @param id unique id; with it, an entry is appended only once even if responses of the platform
 *     are lost
 * @param version configuration version or questionnaire revision; 0 when none applies
 * @param detail human-readable description, truncated to {@value #MAX_DETAIL_CHARS} characters
 */
public record AuditEntry(
    String id,
    AuditKind kind,
    String operator,
    String member,
    String team,
    long version,
    String digest,
    long atEpochMillis,
    String detail) {
  /** Keeps a full segment far below the platform's maximum value size. */
  static final int MAX_DETAIL_CHARS = 500;

  /** Creates an entry and truncates its detail. */
  public AuditEntry {
    if (detail.length() > MAX_DETAIL_CHARS) {
      detail = detail.substring(0, MAX_DETAIL_CHARS);
    }
  }

  AuditEntryMessage toMessage() {
    return AuditEntryMessage.newBuilder()
        .setId(id)
        .setKind(kind.code())
        .setOperator(operator)
        .setMember(member)
        .setTeam(team)
        .setVersion(version)
        .setDigest(digest)
        .setAtEpochMillis(atEpochMillis)
        .setDetail(detail)
        .build();
  }

  static AuditEntry of(AuditEntryMessage message) {
    return new AuditEntry(
        message.getId(),
        AuditKind.of(message.getKind()),
        message.getOperator(),
        message.getMember(),
        message.getTeam(),
        message.getVersion(),
        message.getDigest(),
        message.getAtEpochMillis(),
        message.getDetail());
  }

  AuditEntry withDetail(String newDetail) {
    return new AuditEntry(
        id, kind, operator, member, team, version, digest, atEpochMillis, newDetail);
  }
}
