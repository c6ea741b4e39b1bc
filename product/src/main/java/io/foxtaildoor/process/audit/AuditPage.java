package io.foxtaildoor.process.audit;

import java.util.List;
import java.util.Optional;

/**
 * One page of audit entries, newest first.
 *
 * @param next position of the next older entries; empty at the end of the trail. A page can contain
 *     fewer entries than requested even if older ones exist.
 */
public record AuditPage(List<AuditEntry> entries, Optional<AuditCursor> next) {
  /** Creates a page with an immutable copy of the list. */
  public AuditPage {
    entries = List.copyOf(entries);
  }
}
