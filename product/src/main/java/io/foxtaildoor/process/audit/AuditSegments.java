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
 * The segments of the audit trail on the platform. One append runs at a time in a process; several
 * processes append concurrently.
 *
 * <p>An entry goes to a later segment only after the segment that it was written to has been seen
 * changed without it. A late arrival of that write then finds another revision, so no entry is
 * appended twice.
 */
final class AuditSegments {
  private static final System.Logger LOG = System.getLogger(AuditSegments.class.getName());
  private static final String HEAD_KEY = "audit/head";

  /** Writes that may lose to those of other processes before the append is given up for now. */
  private static final int MAX_ATTEMPTS = 20;

  private final PlatformClient platform;
  private final PlatformReads reads;
  private final ReconcilingWriter writer;
  private final int segmentEntries;

  /** Segment that the next entries go to; 0 before it was read. */
  private volatile long segment;

  /** Last known state of the segment; null when it must be read. */
  private volatile PlatformEntry known;

  /** Entries of an unfinished append that are in a segment; its repetition leaves them out. */
  private final Set<String> appended = ConcurrentHashMap.newKeySet();

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
   * Appends entries once each. When the future fails, the caller repeats the call with the same
   * entries first; those that were appended before the failure are then left out.
   */
  CompletableFuture<Void> append(List<AuditEntry> entries) {
    List<AuditEntryMessage> messages =
        entries.stream()
            .filter(entry -> !appended.contains(entry.id()))
            .map(AuditEntry::toMessage)
            .toList();
    return locate()
        .thenCompose(present -> appendTo(present, messages, 0))
        .whenComplete(
            (done, error) -> {
              if (error == null) {
                appended.clear();
              } else {
                known = null;
              }
            });
  }

  private CompletableFuture<PlatformEntry> locate() {
    PlatformEntry present = known;
    if (present != null) {
      return CompletableFuture.completedFuture(present);
    }
    if (segment > 0) {
      return reads.get(key(segment));
    }
    return newestSegment().thenCompose(newest -> moveTo(Math.max(newest, 1)));
  }

  private CompletableFuture<PlatformEntry> moveTo(long next) {
    segment = next;
    return reads.get(key(next));
  }

  private CompletableFuture<Void> appendTo(
      PlatformEntry present, List<AuditEntryMessage> entries, int attempt) {
    known = present;
    Optional<AuditSegment> content = parse(present);
    if (content.isEmpty()) {
      LOG.log(System.Logger.Level.ERROR, "audit segment {0} is unreadable; skipped", segment);
      return moveTo(segment + 1).thenCompose(next -> appendTo(next, entries, attempt + 1));
    }
    Set<String> ids = ids(content.get());
    entries.stream().map(AuditEntryMessage::getId).filter(ids::contains).forEach(appended::add);
    List<AuditEntryMessage> missing =
        entries.stream().filter(entry -> !ids.contains(entry.getId())).toList();
    if (missing.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    if (attempt >= MAX_ATTEMPTS) {
      return CompletableFuture.failedFuture(
          new FoxtaildoorException(ErrorKind.CONFLICT, "other processes write the audit trail"));
    }
    int room = segmentEntries - content.get().getEntriesCount();
    if (room <= 0) {
      return moveTo(segment + 1).thenCompose(next -> appendTo(next, missing, attempt));
    }
    List<AuditEntryMessage> chunk = missing.subList(0, Math.min(room, missing.size()));
    return write(present, content.get(), chunk)
        .thenCompose(next -> appendTo(next, missing, attempt + 1));
  }

  /** Writes a chunk behind a content; gives the segment after this or another process's write. */
  private CompletableFuture<PlatformEntry> write(
      PlatformEntry present, AuditSegment content, List<AuditEntryMessage> chunk) {
    byte[] value = content.toBuilder().addAllEntries(chunk).build().toByteArray();
    Set<String> written =
        chunk.stream().map(AuditEntryMessage::getId).collect(Collectors.toUnmodifiableSet());
    return writer
        .write(
            key(segment),
            present.revision(),
            value,
            entry -> parse(entry).map(AuditSegments::ids).orElse(Set.of()).containsAll(written))
        .thenApply(
            outcome -> {
              if (outcome instanceof ReconcilingWriter.Outcome.Superseded superseded) {
                return superseded.present();
              }
              if (!present.exists()) {
                advanceHead(segment);
              }
              return ((ReconcilingWriter.Outcome.Written) outcome).entry();
            });
  }

  /** Moves the head to a new segment; when that fails, readers find the segment by walking on. */
  private void advanceHead(long newest) {
    byte[] value = AuditHead.newBuilder().setSegment(newest).build().toByteArray();
    reads
        .get(HEAD_KEY)
        .thenCompose(
            head ->
                segmentOf(head) >= newest
                    ? CompletableFuture.completedFuture(null)
                    : platform.compareAndSet(HEAD_KEY, head.revision(), value))
        .exceptionally(
            error -> {
              LOG.log(System.Logger.Level.DEBUG, "audit head not advanced", error);
              return null;
            });
  }

  /** The newest segment that exists; 0 when there is none. */
  CompletableFuture<Long> newestSegment() {
    return reads.get(HEAD_KEY).thenCompose(head -> walk(segmentOf(head)));
  }

  private CompletableFuture<Long> walk(long from) {
    return reads
        .get(key(from + 1))
        .thenCompose(
            next -> next.exists() ? walk(from + 1) : CompletableFuture.completedFuture(from));
  }

  /** The entries of a segment, oldest first; none when it is absent or unreadable. */
  CompletableFuture<List<AuditEntry>> read(long number) {
    return reads
        .get(key(number))
        .thenApply(
            entry ->
                parse(entry).orElse(AuditSegment.getDefaultInstance()).getEntriesList().stream()
                    .map(AuditEntry::of)
                    .toList());
  }

  private static long segmentOf(PlatformEntry head) {
    try {
      return head.exists() ? AuditHead.parseFrom(head.value()).getSegment() : 0;
    } catch (InvalidProtocolBufferException e) {
      return 0;
    }
  }

  private static Optional<AuditSegment> parse(PlatformEntry entry) {
    try {
      return Optional.of(
          entry.exists()
              ? AuditSegment.parseFrom(entry.value())
              : AuditSegment.getDefaultInstance());
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static Set<String> ids(AuditSegment segment) {
    Set<String> ids = new HashSet<>();
    segment.getEntriesList().forEach(entry -> ids.add(entry.getId()));
    return ids;
  }
}
