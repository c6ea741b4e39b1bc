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
 * Decides when this node acquires, renews and gives up a reader lease of its data centre.
 *
 * <p>This class performs no input or output: the caller executes one step at a time and reports its
 * result before asking for the next. Not thread-safe. All times are monotonic nanoseconds.
 */
public final class ReaderElection {
  /**
   * The holder stops using a lease a tenth of the lease time early, because its clock and the
   * platform's may run at different rates.
   */
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
  private long usableUntilNanos;
  private long nextStepNanos;
  private int slot;
  private boolean slotChosen;

  /** Action to take next. */
  public sealed interface Step {
    /** Acquire the lease for a key. */
    record Acquire(String key, String holder, Duration timeToLive) implements Step {}

    /** Renew the held lease. */
    record Renew(PlatformLease lease) implements Step {}

    /** Wait for a time in nanoseconds, then ask for the next step. */
    record Wait(long nanos) implements Step {}
  }

  /**
   * Creates an election whose first step comes after a random fraction of the maximum start delay.
   */
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

  /** Returns whether this node holds a lease that, by the local clock, cannot have expired yet. */
  public boolean isReader(long nowNanos) {
    return lease != null && usableUntilNanos - nowNanos > 0;
  }

  /**
   * Returns the time in nanoseconds for which the node may still act as a reader; zero or negative
   * if it may not.
   */
  public long remainingNanos(long nowNanos) {
    return lease == null ? 0 : usableUntilNanos - nowNanos;
  }

  /** Returns the lease as last confirmed by the platform, even if it may have expired. */
  public Optional<PlatformLease> lease() {
    return Optional.ofNullable(lease);
  }

  /**
   * Returns the next step.
   *
   * @param alive nodes of the data centre that are known to be alive; may omit this node
   */
  public Step next(long nowNanos, Collection<NodeId> alive) {
    if (lease != null && !isReader(nowNanos)) {
      dropLease(nowNanos);
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
      long pause = withJitter(leaseNanos / RENEWAL_DIVISOR);
      nextStepNanos = nowNanos + pause;
      return new Step.Wait(pause);
    }
    if (!slotChosen) {
      slot = position % settings.slots();
      slotChosen = true;
    }
    return new Step.Acquire(leaseKey(slot), self.value(), settings.leaseTime());
  }

  /**
   * Reports that the lease was granted or renewed. Its validity is counted from the time when the
   * request was sent, because the platform may have granted it at any time after that.
   */
  public void onGranted(PlatformLease granted, long sentNanos) {
    lease = granted;
    backoff.reset();
    usableUntilNanos = sentNanos + leaseNanos - leaseNanos / MARGIN_DIVISOR;
    nextStepNanos = sentNanos + leaseNanos / RENEWAL_DIVISOR;
  }

  /** Reports that another node holds the lease or that it has expired. */
  public void onRefused(long nowNanos) {
    if (lease != null) {
      dropLease(nowNanos);
      return;
    }
    slot = (slot + 1) % settings.slots();
    // A slot becomes free when its holder fails, so each is requested about once per lease time.
    nextStepNanos = nowNanos + withJitter(leaseNanos / settings.slots());
  }

  /** Reports that the platform did not respond or that the outcome is unknown. */
  public void onFailed(long nowNanos) {
    nextStepNanos = nowNanos + backoff.recordFailure(random);
  }

  private void dropLease(long nowNanos) {
    lease = null;
    // The random delay keeps readers that were paused together from resuming at the same time.
    nextStepNanos = nowNanos + random.nextLong(leaseNanos / RENEWAL_DIVISOR);
  }

  private long withJitter(long nanos) {
    return nanos - random.nextLong(nanos / 2 + 1);
  }

  private String leaseKey(int slotNumber) {
    return "readers/" + dataCentre + "/" + slotNumber;
  }
}
