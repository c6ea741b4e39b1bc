package io.foxtaildoor.version.distribution;

import io.foxtaildoor.common.ExponentialBackoff;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides which version to pull, from which source and when. Performs no I/O; not thread-safe.
 *
 * <p>Prefers the newest version offered by a source that is not in back-off. A concurrent second
 * pull is started only for a newer version, or as a hedge when the first pull is slow.
 */
final class PullPlanner {
  private static final int MAX_REJECTED_VERSIONS = 64;

  private final DistributionSettings settings;
  private final RandomGenerator random;
  private final Map<InetSocketAddress, Source> sources = new LinkedHashMap<>();
  private final Set<VersionStamp> rejectedVersions = new LinkedHashSet<>();
  private final List<Pull> inFlight = new ArrayList<>();

  /** One pull. Uses identity equality: two pulls with equal source and target are distinct. */
  static final class Pull {
    private final InetSocketAddress source;
    private final VersionStamp target;
    private final long startNanos;

    Pull(InetSocketAddress source, VersionStamp target, long startNanos) {
      this.source = source;
      this.target = target;
      this.startNanos = startNanos;
    }

    InetSocketAddress source() {
      return source;
    }
  }

  private static final class Source {
    private final ExponentialBackoff backoff;
    private VersionStamp newestStamp = VersionStamp.NONE;
    private boolean backingOff;
    private long retryAtNanos;

    Source(DistributionSettings settings) {
      backoff = new ExponentialBackoff(settings.initialBackoff(), settings.maxBackoff());
    }

    long nanosUntilRetry(long nowNanos) {
      return backingOff ? Math.max(0, retryAtNanos - nowNanos) : 0;
    }
  }

  PullPlanner(DistributionSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /**
   * Records that a node offers a version. An older version than the node offered before is ignored,
   * because the datagram arrived out of order.
   */
  void recordOffer(InetSocketAddress from, VersionStamp stamp) {
    if (rejectedVersions.contains(stamp)) {
      return;
    }
    Source source = sources.remove(from);
    if (source == null) {
      source = new Source(settings);
    }
    sources.put(from, source);
    if (stamp.isNewerThan(source.newestStamp)) {
      source.newestStamp = stamp;
    }
    evictOldestSource();
  }

  private void evictOldestSource() {
    if (sources.size() > settings.maxSources()) {
      sources.keySet().stream()
          .filter(address -> !isPullingFrom(address))
          .findFirst()
          .ifPresent(sources::remove);
    }
  }

  private boolean isPullingFrom(InetSocketAddress address) {
    return inFlight.stream().anyMatch(pull -> pull.source.equals(address));
  }

  /** Selects and registers the next pull, if one may start now. */
  Optional<Pull> startNextPull(long nowNanos, VersionStamp held) {
    failTimedOutPulls(nowNanos);
    if (inFlight.size() >= settings.maxPulls()) {
      return Optional.empty();
    }
    List<InetSocketAddress> candidates = new ArrayList<>();
    VersionStamp newestOffered = held;
    for (Map.Entry<InetSocketAddress, Source> entry : sources.entrySet()) {
      VersionStamp stamp = entry.getValue().newestStamp;
      if (!isEligible(entry.getKey(), held) || entry.getValue().nanosUntilRetry(nowNanos) > 0) {
        continue;
      }
      if (stamp.isNewerThan(newestOffered)) {
        candidates.clear();
        newestOffered = stamp;
      }
      if (stamp.version() == newestOffered.version()) {
        candidates.add(entry.getKey());
      }
    }
    if (candidates.isEmpty() || !mayStartPull(newestOffered, nowNanos)) {
      return Optional.empty();
    }
    InetSocketAddress source = candidates.get(random.nextInt(candidates.size()));
    Pull pull = new Pull(source, sources.get(source).newestStamp, nowNanos);
    inFlight.add(pull);
    return Optional.of(pull);
  }

  private boolean isEligible(InetSocketAddress address, VersionStamp held) {
    VersionStamp stamp = sources.get(address).newestStamp;
    return stamp.isNewerThan(held) && !rejectedVersions.contains(stamp) && !isPullingFrom(address);
  }

  private boolean mayStartPull(VersionStamp target, long nowNanos) {
    return inFlight.stream()
        .allMatch(pull -> target.isNewerThan(pull.target) || nanosUntilHedge(pull, nowNanos) <= 0);
  }

  private long nanosUntilHedge(Pull pull, long nowNanos) {
    return pull.startNanos + settings.hedgeAfter().toNanos() - nowNanos;
  }

  private void failTimedOutPulls(long nowNanos) {
    long timeout = settings.pullTimeout().toNanos();
    for (Pull pull : List.copyOf(inFlight)) {
      if (nowNanos - pull.startNanos >= timeout) {
        recordFailure(pull, nowNanos);
      }
    }
  }

  /** Whether the pull is still in flight; false after it timed out. */
  boolean isInFlight(Pull pull) {
    return inFlight.contains(pull);
  }

  /**
   * Records that the source answered with the version it holds. If that version is older than the
   * one it announced, the pull counts as failed.
   */
  void recordAnswer(Pull pull, VersionStamp actual, long nowNanos) {
    if (pull.target.isNewerThan(actual)) {
      recordFailure(pull, nowNanos);
      Source source = sources.get(pull.source);
      if (source != null) {
        // The node at this address was restarted, or it announces a version that it does not hold.
        source.newestStamp = actual;
      }
      return;
    }
    if (inFlight.remove(pull)) {
      Source source = sources.get(pull.source);
      source.backoff.reset();
      source.backingOff = false;
    }
  }

  /** Records that the source did not answer or sent invalid data; puts the source into back-off. */
  void recordFailure(Pull pull, long nowNanos) {
    if (inFlight.remove(pull)) {
      Source source = sources.get(pull.source);
      source.retryAtNanos = nowNanos + source.backoff.recordFailure(random);
      source.backingOff = true;
    }
  }

  /** Records that a version is invalid, so that it is not pulled again from any source. */
  void recordRejected(VersionStamp stamp) {
    rejectedVersions.add(stamp);
    if (rejectedVersions.size() > MAX_REJECTED_VERSIONS) {
      rejectedVersions.remove(rejectedVersions.iterator().next());
    }
  }

  /**
   * Returns the nanoseconds until a pull may start or times out; {@link Long#MAX_VALUE} when
   * neither will happen.
   */
  long nanosUntilNext(long nowNanos, VersionStamp held) {
    long waitNanos = Long.MAX_VALUE;
    for (Pull pull : inFlight) {
      long timeout = pull.startNanos + settings.pullTimeout().toNanos() - nowNanos;
      waitNanos = Math.min(waitNanos, Math.max(0, timeout));
    }
    if (inFlight.size() >= settings.maxPulls()) {
      return waitNanos;
    }
    for (InetSocketAddress address : sources.keySet()) {
      if (isEligible(address, held)) {
        waitNanos = Math.min(waitNanos, nanosUntilStart(sources.get(address), nowNanos));
      }
    }
    return waitNanos;
  }

  private long nanosUntilStart(Source source, long nowNanos) {
    long waitNanos = source.nanosUntilRetry(nowNanos);
    for (Pull pull : inFlight) {
      if (!source.newestStamp.isNewerThan(pull.target)) {
        waitNanos = Math.max(waitNanos, nanosUntilHedge(pull, nowNanos));
      }
    }
    return waitNanos;
  }
}
