package io.foxtaildoor.process.audit;

import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Append-only log of operator actions. Entries are queued in a bounded queue and written to the
 * platform in the background, with retries until the write succeeds. Recording never blocks or
 * fails the recorded action.
 */
public final class AuditTrail implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(AuditTrail.class.getName());

  /** Maximum number of entries in a page. */
  public static final int MAX_PAGE_SIZE = 200;

  /**
   * Maximum number of segments read for one page. Limits the platform calls of a page for a member
   * that has few entries.
   */
  private static final int MAX_SEGMENTS_PER_PAGE = 5;

  private final AuditSettings settings;
  private final TaskScheduler scheduler;
  private final AuditQueue queue;
  private final AuditSegments segments;
  private final AtomicBoolean writing = new AtomicBoolean();
  private final List<CompletableFuture<Void>> pendingFlushes = new ArrayList<>();
  private volatile boolean closed;

  /** Creates an audit trail that is stored on the platform; the scheduler delays retries. */
  public AuditTrail(PlatformClient platform, TaskScheduler scheduler, AuditSettings settings) {
    this.settings = settings;
    this.scheduler = scheduler;
    this.queue = new AuditQueue(settings);
    this.segments =
        new AuditSegments(
            platform, new ReconcilingWriter(platform, scheduler), settings.maxSegmentEntries());
  }

  /**
   * Queues an entry. Returns false if the entry was dropped because the trail is closed, the queue
   * is full after a long platform outage, or there are too many refusals.
   */
  public boolean record(AuditEntry entry) {
    boolean queued = !closed && queue.offer(entry);
    if (queued) {
      startWriting();
    } else if (entry.kind() != AuditKind.REFUSAL) {
      LOG.log(System.Logger.Level.WARNING, "audit entry dropped: {0}", entry);
    }
    return queued;
  }

  private void startWriting() {
    if (writing.compareAndSet(false, true)) {
      writeNext(settings.initialRetryDelay());
    }
  }

  private void writeNext(Duration retryWait) {
    List<AuditEntry> batch = queue.peek(settings.maxBatchEntries());
    if (batch.isEmpty() || closed) {
      writing.set(false);
      completeFlushes();
      // An entry that was queued after peek() and before the flag was reset did not start a writer.
      if (queue.size() > 0 && !closed) {
        startWriting();
      }
      return;
    }
    var unused =
        segments
            .append(batch)
            .whenComplete((done, error) -> onWritten(batch.size(), error, retryWait));
  }

  private void onWritten(int count, Throwable error, Duration retryWait) {
    if (error == null) {
      queue.remove(count);
      writeNext(settings.initialRetryDelay());
      return;
    }
    // During a long outage only the first failure is logged as a warning.
    boolean first = retryWait.equals(settings.initialRetryDelay());
    LOG.log(
        first ? System.Logger.Level.WARNING : System.Logger.Level.DEBUG,
        "writing the audit trail failed, retrying after {0}: {1}",
        retryWait,
        error.getMessage());
    Duration doubled = retryWait.multipliedBy(2);
    Duration next =
        doubled.compareTo(settings.maxRetryDelay()) > 0 ? settings.maxRetryDelay() : doubled;
    scheduler.schedule(retryWait, () -> writeNext(next));
  }

  /**
   * Returns a future that completes when all waiting entries are written. It does not complete
   * while the platform is down, so the caller must set a timeout.
   */
  public CompletableFuture<Void> flush() {
    CompletableFuture<Void> flushed = new CompletableFuture<>();
    synchronized (pendingFlushes) {
      pendingFlushes.add(flushed);
    }
    if (queue.size() == 0 || closed) {
      completeFlushes();
    }
    return flushed;
  }

  private void completeFlushes() {
    List<CompletableFuture<Void>> done;
    synchronized (pendingFlushes) {
      done = List.copyOf(pendingFlushes);
      pendingFlushes.clear();
    }
    done.forEach(flush -> flush.complete(null));
  }

  /**
   * Returns the number of entries other than refusals that were dropped since process start because
   * the queue was full.
   */
  public long droppedCount() {
    return queue.droppedCount();
  }

  /** Returns the number of entries that wait to be written. */
  public int waitingCount() {
    return queue.size();
  }

  /**
   * Reads a page of entries, newest first. The future fails with a {@link
   * io.foxtaildoor.common.FoxtaildoorException} when the platform does not answer.
   *
   * @param before position to start from; empty starts at the newest entry
   * @param limit maximum number of entries; clamped to the range from 1 to {@value #MAX_PAGE_SIZE}
   * @param member member whose entries are returned; empty returns those of all members
   */
  public CompletableFuture<AuditPage> page(
      Optional<AuditCursor> before, int limit, Optional<MemberId> member) {
    int size = Math.max(1, Math.min(limit, MAX_PAGE_SIZE));
    CompletableFuture<AuditCursor> start =
        before
            .map(CompletableFuture::completedFuture)
            .orElseGet(
                () ->
                    segments
                        .newestSegment()
                        .thenApply(newest -> new AuditCursor(newest, AuditCursor.SEGMENT_END)));
    return start.thenCompose(cursor -> collectPage(cursor, size, member, new ArrayList<>(), 0));
  }

  private CompletableFuture<AuditPage> collectPage(
      AuditCursor from,
      int size,
      Optional<MemberId> member,
      List<AuditEntry> found,
      int segmentsRead) {
    if (from.segment() < 1) {
      return CompletableFuture.completedFuture(new AuditPage(found, Optional.empty()));
    }
    if (segmentsRead >= MAX_SEGMENTS_PER_PAGE) {
      return CompletableFuture.completedFuture(new AuditPage(found, Optional.of(from)));
    }
    return segments
        .read(from.segment())
        .thenCompose(
            entries -> {
              int index = Math.min(from.index(), entries.size());
              while (index > 0 && found.size() < size) {
                AuditEntry entry = entries.get(--index);
                if (member.map(id -> id.value().equals(entry.member())).orElse(true)) {
                  found.add(entry);
                }
              }
              if (found.size() == size && (index > 0 || from.segment() > 1)) {
                AuditCursor next = new AuditCursor(from.segment(), index);
                return CompletableFuture.completedFuture(new AuditPage(found, Optional.of(next)));
              }
              AuditCursor older = new AuditCursor(from.segment() - 1, AuditCursor.SEGMENT_END);
              return collectPage(older, size, member, found, segmentsRead + 1);
            });
  }

  /** Stops writing. Entries that still wait are lost, so call {@link #flush} first. */
  @Override
  public void close() {
    closed = true;
    completeFlushes();
  }
}
