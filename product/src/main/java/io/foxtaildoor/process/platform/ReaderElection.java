package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.ExponentialBackoff;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RendezvousOrder;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when this node acquires, renews and stops using a reader lease of its data centre.
 *
 * <p>Pure decision code: at most one step is open at a time, and its result is reported before the
 * next. Not safe for use by several threads. Times are monotonic nanoseconds.
 */
public final class ReaderElection {
  /** Share of the lease time that is given up, for clocks that run at different rates. */
  private static final long MARGIN_DIVISOR = 10;

  private static final long RENEWAL_DIVISOR = 3;
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(250);

  private final NodeId self;
  private final DataCentreId dataCentre;
  private final ReaderSettings settings;
  private final RandomGenerator random;
  private final ExponentialBackoff backoff;
  private final long leaseNanos;
  private PlatformLease lease;
  private long actsUntilNanos;
  private long nextStepNanos;
  private int slot;
  private boolean slotChosen;

  /** What to do now. */
  public sealed interface Step {
    /** Acquire the lease on a key. */
    record Acquire(String key, String holder, Duration timeToLive) implements Step {}

    /** Renew the lease. */
    record Renew(PlatformLease lease) implements Step {}

    /** Nothing to do for a time in nanoseconds. */
    record Wait(long nanos) implements Step {}
  }

  /** Creates an election that takes its first step after a random part of the start delay. */
  public ReaderElection(
      NodeId self,
      DataCentreId dataCentre,
      ReaderSettings settings,
      long nowNanos,
      RandomGenerator random) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.settings = settings;
    this.random = random;
    leaseNanos = settings.leaseTime().toNanos();
    backoff = new ExponentialBackoff(INITIAL_BACKOFF, settings.leaseTime().dividedBy(2));
    nextStepNanos = nowNanos + random.nextLong(settings.maxStartDelay().toNanos() + 1);
  }

  /** Whether the lease is held and cannot have lapsed by the local clock. */
  public boolean isReader(long nowNanos) {
    return lease != null && actsUntilNanos - nowNanos > 0;
  }

  /** Time in nanoseconds for which the node may still act as a reader; not positive when none. */
  public long remainingNanos(long nowNanos) {
    return lease == null ? 0 : actsUntilNanos - nowNanos;
  }

  /** The lease as last confirmed, even when it may have lapsed. */
  public Optional<PlatformLease> lease() {
    return Optional.ofNullable(lease);
  }

  /**
   * Gives the next step.
   *
   * @param alive nodes of the data centre that are known to be alive, with or without this one
   */
  public Step next(long nowNanos, Collection<NodeId> alive) {
    if (lease != null && !isReader(nowNanos)) {
      drop(nowNanos);
    }
    long wait = nextStepNanos - nowNanos;
    if (wait > 0) {
      return new Step.Wait(wait);
    }
    if (lease != null) {
      return new Step.Renew(lease);
    }
    int position = new RendezvousOrder(dataCentre.value()).position(self, alive);
    if (position >= settings.candidates()) {
      long pause = jittered(leaseNanos / RENEWAL_DIVISOR);
      nextStepNanos = nowNanos + pause;
      return new Step.Wait(pause);
    }
    if (!slotChosen) {
      slot = position % settings.slots();
      slotChosen = true;
    }
    return new Step.Acquire(key(slot), self.value(), settings.leaseTime());
  }

  /**
   * Reports a granted or renewed lease. The lease is counted from the time when the request was
   * sent, because the platform may have granted it at any time since.
   */
  public void granted(PlatformLease granted, long sentNanos) {
    lease = granted;
    backoff.reset();
    actsUntilNanos = sentNanos + leaseNanos - leaseNanos / MARGIN_DIVISOR;
    nextStepNanos = sentNanos + leaseNanos / RENEWAL_DIVISOR;
  }

  /** Reports that another node holds the lease, or that it lapsed. */
  public void refused(long nowNanos) {
    if (lease != null) {
      drop(nowNanos);
      return;
    }
    slot = (slot + 1) % settings.slots();
    // A slot becomes free when its holder fails, so each slot is asked for once in a lease time.
    nextStepNanos = nowNanos + jittered(leaseNanos / settings.slots());
  }

  /** Reports that the platform did not answer or that the outcome is unknown. */
  public void failed(long nowNanos) {
    nextStepNanos = nowNanos + backoff.recordFailure(random);
  }

  private void drop(long nowNanos) {
    lease = null;
    // Readers that were paused together do not return together.
    nextStepNanos = nowNanos + random.nextLong(leaseNanos / RENEWAL_DIVISOR);
  }

  private long jittered(long nanos) {
    return nanos - random.nextLong(nanos / 2 + 1);
  }

  private String key(int slotNumber) {
    return "readers/" + dataCentre + "/" + slotNumber;
  }
}
