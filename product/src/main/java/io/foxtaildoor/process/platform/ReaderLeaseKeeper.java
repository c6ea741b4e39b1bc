package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.TaskScheduler;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Executes the steps of a {@link ReaderElection} against the platform and keeps the reader lease.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The client's futures never complete exceptionally.
public final class ReaderLeaseKeeper implements AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ReaderLeaseKeeper.class.getName());

  private final ReaderElection election;
  private final PlatformClient client;
  private final Supplier<Collection<NodeId>> alive;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final Object lock = new Object();
  private boolean closed;
  private boolean wasReader;

  /**
   * Creates a lease keeper.
   *
   * @param alive returns the nodes of the data centre that are known to be alive
   * @param clock monotonic time in nanoseconds
   */
  public ReaderLeaseKeeper(
      ReaderElection election,
      PlatformClient client,
      Supplier<Collection<NodeId>> alive,
      TaskScheduler scheduler,
      LongSupplier clock) {
    this.election = election;
    this.client = client;
    this.alive = alive;
    this.scheduler = scheduler;
    this.clock = clock;
  }

  /** Starts executing the steps of the election. */
  public void start() {
    scheduler.schedule(0, this::step);
  }

  /** Returns whether this node may currently act as a reader. */
  public boolean isReader() {
    synchronized (lock) {
      return !closed && election.isReader(clock.getAsLong());
    }
  }

  private void step() {
    ReaderElection.Step next;
    synchronized (lock) {
      if (closed) {
        return;
      }
      logRoleChange();
      next = election.next(clock.getAsLong(), alive.get());
    }
    long sent = clock.getAsLong();
    if (next instanceof ReaderElection.Step.Wait wait) {
      scheduler.schedule(wait.nanos(), this::step);
    } else if (next instanceof ReaderElection.Step.Renew renew) {
      client.renewLease(renew.lease()).thenAccept(result -> onLeaseResult(result, sent));
    } else if (next instanceof ReaderElection.Step.Acquire acquire) {
      client
          .acquireLease(acquire.key(), acquire.holder(), acquire.timeToLive())
          .thenAccept(result -> onLeaseResult(result, sent));
    }
  }

  private void logRoleChange() {
    boolean reader = election.isReader(clock.getAsLong());
    if (reader != wasReader) {
      wasReader = reader;
      String change =
          reader ? "this node is now a configuration reader" : "the reader lease has expired";
      LOG.log(System.Logger.Level.INFO, change);
    }
  }

  private void onLeaseResult(PlatformResult<PlatformLease> result, long sentNanos) {
    boolean releaseNow = false;
    synchronized (lock) {
      if (result instanceof PlatformResult.Done<PlatformLease> done) {
        election.onGranted(done.value(), sentNanos);
        releaseNow = closed;
      } else if (result instanceof PlatformResult.Conflict<PlatformLease>) {
        election.onRefused(clock.getAsLong());
      } else {
        election.onFailed(clock.getAsLong());
      }
    }
    if (releaseNow) {
      release();
    } else {
      scheduler.schedule(0, this::step);
    }
  }

  private CompletableFuture<PlatformResult<PlatformLease>> release() {
    Optional<PlatformLease> held;
    synchronized (lock) {
      held = election.lease();
    }
    return held.map(client::releaseLease)
        .orElseGet(
            () ->
                CompletableFuture.completedFuture(
                    new PlatformResult.Unavailable<>("this node holds no lease")));
  }

  /** Stops the election and releases the lease, so that another node can take over immediately. */
  @Override
  public void close() {
    synchronized (lock) {
      if (closed) {
        return;
      }
      closed = true;
    }
    CompletableFuture<PlatformResult<PlatformLease>> unused = release();
  }
}
