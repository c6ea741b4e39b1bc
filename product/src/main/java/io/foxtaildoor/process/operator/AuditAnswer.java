package io.foxtaildoor.process.operator;

import io.foxtaildoor.process.audit.AuditCursor;
import io.foxtaildoor.process.audit.AuditEntry;
import io.foxtaildoor.process.audit.AuditPage;
import java.time.Instant;
import java.util.List;
import java.util.Locale;

/** JSON response with a page of audit entries, newest first. */
record AuditAnswer(List<Entry> entries, String next) {
  /** One audit entry. Strings that do not apply are empty. */
  record Entry(
      String id,
      String at,
      String action,
      String operator,
      String member,
      String team,
      long version,
      String digest,
      String detail) {}

  static AuditAnswer of(AuditPage page) {
    return new AuditAnswer(
        page.entries().stream().map(AuditAnswer::entry).toList(),
        page.next().map(AuditCursor::toString).orElse(null));
  }

  private static Entry entry(AuditEntry entry) {
    return new Entry(
        entry.id(),
        Instant.ofEpochMilli(entry.atEpochMillis()).toString(),
        entry.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'),
        entry.operator(),
        entry.member(),
        entry.team(),
        entry.version(),
        entry.digest(),
        entry.detail());
  }
}
