package io.foxtaildoor.process.audit;

import java.util.List;
import java.util.Optional;

/**
 * Entries of the audit trail, newest first.
 *
 * @param next where older entries begin; empty at the end of the trail. A page may have fewer
 *     entries than asked for although there are older ones.
 */
public record AuditPage(List<AuditEntry> entries, Optional<AuditCursor> next) {
  /** Creates a page with an immutable list. */
  public AuditPage {
    entries = List.copyOf(entries);
  }
}
