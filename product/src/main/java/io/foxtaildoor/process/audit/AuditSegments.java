package io.foxtaildoor.process.audit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import io.foxtaildoor.protocol.AuditEntryMessage;
import io.foxtaildoor.protocol.AuditHead;
import io.foxtaildoor.protocol.AuditSegment;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Stores the audit trail on the platform as numbered segments. Each process runs one append at a
 * time; several processes may append concurrently.
 *
 * <p>An entry is written to a later segment only after the segment of its previous write has been
 * read with a new revision and without the entry. If that previous write still arrives late, its
 * compare-and-set fails on the changed revision, so no entry is appended twice.
 */
final class AuditSegments {
  private static final System.Logger LOG = System.getLogger(AuditSegments.class.getName());
  private static final String HEAD_KEY = "audit/head";

  /**
   * Maximum number of writes in one append. Writes fail when other processes write concurrently;
   * the append then fails and the caller retries it later.
   */
  private static final int MAX_ATTEMPTS = 20;

  private final PlatformClient platform;
  private final PlatformReads reads;
  private final ReconcilingWriter writer;
  private final int segmentEntries;

  /** Number of the segment that the next entries are appended to; 0 while it is unknown. */
  private volatile long currentSegment;

  /** Last known state of that segment; null when it must be read again. */
  private volatile PlatformEntry currentEntry;

  /** Ids of the entries of a failed append that are already in a segment. The retry skips them. */
  private final Set<String> appendedIds = ConcurrentHashMap.newKeySet();

  AuditSegments(PlatformClient platform, ReconcilingWriter writer, int segmentEntries) {
    this.platform = platform;
    this.reads = new PlatformReads(platform, Runnable::run);
    this.writer = writer;
    this.segmentEntries = segmentEntries;
  }

  static String key(long segment) {
    return "audit/" + segment;
  }

  /**
   * Appends each entry exactly once. When the future fails, the caller must retry with a list that
   * starts with the same entries; those that were appended before the failure are skipped.
   */
  CompletableFuture<Void> append(List<AuditEntry> entries) {
    List<AuditEntryMessage> messages =
        entries.stream()
            .filter(entry -> !appendedIds.contains(entry.id()))
            .map(AuditEntry::toMessage)
            .toList();
    return locateCurrent()
        .thenCompose(current -> appendTo(current, messages, 0))
        .whenComplete(
            (done, error) -> {
              if (error == null) {
                appendedIds.clear();
              } else {
                currentEntry = null;
              }
            });
  }

  private CompletableFuture<PlatformEntry> locateCurrent() {
    PlatformEntry current = currentEntry;
    if (current != null) {
      return CompletableFuture.completedFuture(current);
    }
    if (currentSegment > 0) {
      return reads.get(key(currentSegment));
    }
    return newestSegment().thenCompose(newest -> switchToSegment(Math.max(newest, 1)));
  }

  private CompletableFuture<PlatformEntry> switchToSegment(long next) {
    currentSegment = next;
    return reads.get(key(next));
  }

  private CompletableFuture<Void> appendTo(
      PlatformEntry current, List<AuditEntryMessage> entries, int attempt) {
    currentEntry = current;
    Optional<AuditSegment> content = parseSegment(current);
    if (content.isEmpty()) {
      LOG.log(
          System.Logger.Level.ERROR,
          "audit segment {0} cannot be parsed and is skipped",
          currentSegment);
      return switchToSegment(currentSegment + 1)
          .thenCompose(next -> appendTo(next, entries, attempt + 1));
    }
    Set<String> ids = entryIds(content.get());
    entries.stream().map(AuditEntryMessage::getId).filter(ids::contains).forEach(appendedIds::add);
    List<AuditEntryMessage> missing =
        entries.stream().filter(entry -> !ids.contains(entry.getId())).toList();
    if (missing.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    if (attempt >= MAX_ATTEMPTS) {
      return CompletableFuture.failedFuture(
          new FoxtaildoorException(
              ErrorKind.CONFLICT,
              "too many concurrent writes to the audit trail by other processes"));
    }
    int room = segmentEntries - content.get().getEntriesCount();
    if (room <= 0) {
      return switchToSegment(currentSegment + 1)
          .thenCompose(next -> appendTo(next, missing, attempt));
    }
    List<AuditEntryMessage> chunk = missing.subList(0, Math.min(room, missing.size()));
    return writeChunk(current, content.get(), chunk)
        .thenCompose(next -> appendTo(next, missing, attempt + 1));
  }

  /**
   * Appends a chunk to the content of a segment. Returns the segment as it is after this write, or
   * after the write of another process that came first.
   */
  private CompletableFuture<PlatformEntry> writeChunk(
      PlatformEntry current, AuditSegment content, List<AuditEntryMessage> chunk) {
    byte[] value = content.toBuilder().addAllEntries(chunk).build().toByteArray();
    Set<String> written =
        chunk.stream().map(AuditEntryMessage::getId).collect(Collectors.toUnmodifiableSet());
    return writer
        .write(
            key(currentSegment),
            current.revision(),
            value,
            entry ->
                parseSegment(entry)
                    .map(AuditSegments::entryIds)
                    .orElse(Set.of())
                    .containsAll(written))
        .thenApply(
            outcome -> {
              if (outcome instanceof ReconcilingWriter.Outcome.Superseded superseded) {
                return superseded.present();
              }
              if (!current.exists()) {
                advanceHead(currentSegment);
              }
              return ((ReconcilingWriter.Outcome.Written) outcome).entry();
            });
  }

  /**
   * Sets the head entry to a new segment. When this fails, readers still find the segment by
   * probing the segments after the head.
   */
  private void advanceHead(long newest) {
    byte[] value = AuditHead.newBuilder().setSegment(newest).build().toByteArray();
    reads
        .get(HEAD_KEY)
        .thenCompose(
            head ->
                headSegment(head) >= newest
                    ? CompletableFuture.completedFuture(null)
                    : platform.compareAndSet(HEAD_KEY, head.revision(), value))
        .exceptionally(
            error -> {
              LOG.log(
                  System.Logger.Level.DEBUG,
                  "could not update the head entry of the audit trail",
                  error);
              return null;
            });
  }

  /** Returns the number of the newest segment, or 0 when there is none. */
  CompletableFuture<Long> newestSegment() {
    return reads.get(HEAD_KEY).thenCompose(head -> findLastSegment(headSegment(head)));
  }

  private CompletableFuture<Long> findLastSegment(long from) {
    return reads
        .get(key(from + 1))
        .thenCompose(
            next ->
                next.exists()
                    ? findLastSegment(from + 1)
                    : CompletableFuture.completedFuture(from));
  }

  /**
   * Returns the entries of a segment, oldest first; an empty list when the segment is absent or
   * cannot be parsed.
   */
  CompletableFuture<List<AuditEntry>> read(long number) {
    return reads
        .get(key(number))
        .thenApply(
            entry ->
                parseSegment(entry)
                    .orElse(AuditSegment.getDefaultInstance())
                    .getEntriesList()
                    .stream()
                    .map(AuditEntry::of)
                    .toList());
  }

  private static long headSegment(PlatformEntry head) {
    try {
      return head.exists() ? AuditHead.parseFrom(head.value()).getSegment() : 0;
    } catch (InvalidProtocolBufferException e) {
      return 0;
    }
  }

  private static Optional<AuditSegment> parseSegment(PlatformEntry entry) {
    try {
      return Optional.of(
          entry.exists()
              ? AuditSegment.parseFrom(entry.value())
              : AuditSegment.getDefaultInstance());
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static Set<String> entryIds(AuditSegment segment) {
    Set<String> ids = new HashSet<>();
    segment.getEntriesList().forEach(entry -> ids.add(entry.getId()));
    return ids;
  }
}
