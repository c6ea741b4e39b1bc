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
 * Append-only record of what operators did. Entries wait in a bounded queue and are written in the
 * background until the platform has them; recording never blocks or fails the action it records.
 */
public final class AuditTrail implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(AuditTrail.class.getName());

  /** Largest page, in entries. */
  public static final int MAX_PAGE = 200;

  /** Segments read for one page, so that a member with few entries costs few platform calls. */
  private static final int MAX_SEGMENTS_PER_PAGE = 5;

  private final AuditSettings settings;
  private final TaskScheduler scheduler;
  private final AuditQueue queue;
  private final AuditSegments segments;
  private final AtomicBoolean writing = new AtomicBoolean();
  private final List<CompletableFuture<Void>> flushes = new ArrayList<>();
  private volatile boolean closed;

  /** Creates a trail on a platform; the scheduler waits between retries. */
  public AuditTrail(PlatformClient platform, TaskScheduler scheduler, AuditSettings settings) {
    this.settings = settings;
    this.scheduler = scheduler;
    this.queue = new AuditQueue(settings);
    this.segments =
        new AuditSegments(
            platform, new ReconcilingWriter(platform, scheduler), settings.segmentEntries());
  }

  /**
   * Queues an entry. Gives false when the entry was dropped: the queue is full because the platform
   * has been down for long, or there are too many refusals.
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
      writeNext(settings.firstRetry());
    }
  }

  private void writeNext(Duration retryWait) {
    List<AuditEntry> batch = queue.peek(settings.batchEntries());
    if (batch.isEmpty() || closed) {
      writing.set(false);
      completeFlushes();
      // An entry that was queued between the look and the reset has not started a writer.
      if (queue.size() > 0 && !closed) {
        startWriting();
      }
      return;
    }
    var unused =
        segments
            .append(batch)
            .whenComplete((done, error) -> written(batch.size(), error, retryWait));
  }

  private void written(int count, Throwable error, Duration retryWait) {
    if (error == null) {
      queue.remove(count);
      writeNext(settings.firstRetry());
      return;
    }
    // During a long outage only the first failure is a warning.
    boolean first = retryWait.equals(settings.firstRetry());
    LOG.log(
        first ? System.Logger.Level.WARNING : System.Logger.Level.DEBUG,
        "audit trail not written, retried after {0}: {1}",
        retryWait,
        error.getMessage());
    Duration doubled = retryWait.multipliedBy(2);
    Duration next = doubled.compareTo(settings.lastRetry()) > 0 ? settings.lastRetry() : doubled;
    scheduler.schedule(retryWait, () -> writeNext(next));
  }

  /**
   * Completes when no entry waits any more. It does not while the platform is down, so the caller
   * sets a time limit.
   */
  public CompletableFuture<Void> flush() {
    CompletableFuture<Void> flushed = new CompletableFuture<>();
    synchronized (flushes) {
      flushes.add(flushed);
    }
    if (queue.size() == 0 || closed) {
      completeFlushes();
    }
    return flushed;
  }

  private void completeFlushes() {
    List<CompletableFuture<Void>> done;
    synchronized (flushes) {
      done = List.copyOf(flushes);
      flushes.clear();
    }
    done.forEach(flush -> flush.complete(null));
  }

  /** Entries other than refusals that were lost since the start because the queue was full. */
  public long dropped() {
    return queue.dropped();
  }

  /** Entries that wait for the platform. */
  public int waiting() {
    return queue.size();
  }

  /**
   * Reads a page, newest entries first. The future fails with a {@link
   * io.foxtaildoor.common.FoxtaildoorException} when the platform does not answer.
   *
   * @param before where to begin; the newest entry when empty
   * @param limit from 1 to {@value #MAX_PAGE}; other values are moved into that range
   * @param member whose entries are given; those of all members when empty
   */
  public CompletableFuture<AuditPage> page(
      Optional<AuditCursor> before, int limit, Optional<MemberId> member) {
    int size = Math.max(1, Math.min(limit, MAX_PAGE));
    CompletableFuture<AuditCursor> start =
        before
            .map(CompletableFuture::completedFuture)
            .orElseGet(
                () ->
                    segments
                        .newestSegment()
                        .thenApply(newest -> new AuditCursor(newest, AuditCursor.SEGMENT_END)));
    return start.thenCompose(cursor -> collect(cursor, size, member, new ArrayList<>(), 0));
  }

  private CompletableFuture<AuditPage> collect(
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
              return collect(older, size, member, found, segmentsRead + 1);
            });
  }

  /** Stops writing; entries that still wait are lost, so {@link #flush} comes first. */
  @Override
  public void close() {
    closed = true;
    completeFlushes();
  }
}
