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
 * Decides what to pull, from whom and when. Pure decision code; not safe for use by several
 * threads.
 *
 * <p>The newest version that any source outside its back-off offers is preferred. A second pull
 * runs beside the first only for a newer version, or when the first is slow.
 */
final class PullPlanner {
  private static final int MAX_REJECTED = 64;

  private final DistributionSettings settings;
  private final RandomGenerator random;
  private final Map<InetSocketAddress, Source> sources = new LinkedHashMap<>();
  private final Set<VersionStamp> rejected = new LinkedHashSet<>();
  private final List<Pull> inFlight = new ArrayList<>();

  /** One pull; each is distinct even if source and target are the same. */
  static final class Pull {
    private final InetSocketAddress source;
    private final VersionStamp target;
    private final long startedNanos;

    Pull(InetSocketAddress source, VersionStamp target, long startedNanos) {
      this.source = source;
      this.target = target;
      this.startedNanos = startedNanos;
    }

    InetSocketAddress source() {
      return source;
    }
  }

  private static final class Source {
    private final ExponentialBackoff backoff;
    private VersionStamp stamp = VersionStamp.NONE;
    private boolean backingOff;
    private long notBeforeNanos;

    Source(DistributionSettings settings) {
      backoff = new ExponentialBackoff(settings.initialBackoff(), settings.maxBackoff());
    }

    long waitNanos(long nowNanos) {
      return backingOff ? Math.max(0, notBeforeNanos - nowNanos) : 0;
    }
  }

  PullPlanner(DistributionSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /** Records that a node has a version; an older one than heard before arrived out of order. */
  void heard(InetSocketAddress from, VersionStamp stamp) {
    if (rejected.contains(stamp)) {
      return;
    }
    Source source = sources.remove(from);
    if (source == null) {
      source = new Source(settings);
    }
    sources.put(from, source);
    if (stamp.isNewerThan(source.stamp)) {
      source.stamp = stamp;
    }
    forgetOldest();
  }

  private void forgetOldest() {
    if (sources.size() > settings.maxSources()) {
      sources.keySet().stream()
          .filter(address -> !pullsFrom(address))
          .findFirst()
          .ifPresent(sources::remove);
    }
  }

  private boolean pullsFrom(InetSocketAddress address) {
    return inFlight.stream().anyMatch(pull -> pull.source.equals(address));
  }

  /** Starts the next pull, if there is one for now. */
  Optional<Pull> next(long nowNanos, VersionStamp held) {
    expire(nowNanos);
    if (inFlight.size() >= settings.maxPulls()) {
      return Optional.empty();
    }
    List<InetSocketAddress> best = new ArrayList<>();
    VersionStamp newest = held;
    for (Map.Entry<InetSocketAddress, Source> entry : sources.entrySet()) {
      VersionStamp stamp = entry.getValue().stamp;
      if (!wanted(entry.getKey(), held) || entry.getValue().waitNanos(nowNanos) > 0) {
        continue;
      }
      if (stamp.isNewerThan(newest)) {
        best.clear();
        newest = stamp;
      }
      if (stamp.version() == newest.version()) {
        best.add(entry.getKey());
      }
    }
    if (best.isEmpty() || !mayStart(newest, nowNanos)) {
      return Optional.empty();
    }
    InetSocketAddress chosen = best.get(random.nextInt(best.size()));
    Pull pull = new Pull(chosen, sources.get(chosen).stamp, nowNanos);
    inFlight.add(pull);
    return Optional.of(pull);
  }

  private boolean wanted(InetSocketAddress address, VersionStamp held) {
    VersionStamp stamp = sources.get(address).stamp;
    return stamp.isNewerThan(held) && !rejected.contains(stamp) && !pullsFrom(address);
  }

  private boolean mayStart(VersionStamp target, long nowNanos) {
    return inFlight.stream()
        .allMatch(pull -> target.isNewerThan(pull.target) || hedgeNanos(pull, nowNanos) <= 0);
  }

  private long hedgeNanos(Pull pull, long nowNanos) {
    return pull.startedNanos + settings.hedgeAfter().toNanos() - nowNanos;
  }

  private void expire(long nowNanos) {
    long timeout = settings.pullTimeout().toNanos();
    for (Pull pull : List.copyOf(inFlight)) {
      if (nowNanos - pull.startedNanos >= timeout) {
        failed(pull, nowNanos);
      }
    }
  }

  /** Whether the pull still counts; false after it timed out. */
  boolean isInFlight(Pull pull) {
    return inFlight.contains(pull);
  }

  /** Reports that the source gave what it has, which may be older than what it announced. */
  void answered(Pull pull, VersionStamp given, long nowNanos) {
    if (pull.target.isNewerThan(given)) {
      failed(pull, nowNanos);
      Source source = sources.get(pull.source);
      if (source != null) {
        // The node at this address was restarted, or it announces what it does not have.
        source.stamp = given;
      }
      return;
    }
    if (inFlight.remove(pull)) {
      Source source = sources.get(pull.source);
      source.backoff.reset();
      source.backingOff = false;
    }
  }

  /** Reports that the source did not answer or gave bad data. */
  void failed(Pull pull, long nowNanos) {
    if (inFlight.remove(pull)) {
      Source source = sources.get(pull.source);
      source.notBeforeNanos = nowNanos + source.backoff.recordFailure(random);
      source.backingOff = true;
    }
  }

  /** Reports that a version is invalid, whichever source gives it. */
  void rejected(VersionStamp stamp) {
    rejected.add(stamp);
    if (rejected.size() > MAX_REJECTED) {
      rejected.remove(rejected.iterator().next());
    }
  }

  /** Nanoseconds until a pull may be started or times out; {@link Long#MAX_VALUE} for never. */
  long nanosUntilNext(long nowNanos, VersionStamp held) {
    long wait = Long.MAX_VALUE;
    for (Pull pull : inFlight) {
      long timeout = pull.startedNanos + settings.pullTimeout().toNanos() - nowNanos;
      wait = Math.min(wait, Math.max(0, timeout));
    }
    if (inFlight.size() >= settings.maxPulls()) {
      return wait;
    }
    for (InetSocketAddress address : sources.keySet()) {
      if (wanted(address, held)) {
        wait = Math.min(wait, startNanos(sources.get(address), nowNanos));
      }
    }
    return wait;
  }

  private long startNanos(Source source, long nowNanos) {
    long wait = source.waitNanos(nowNanos);
    for (Pull pull : inFlight) {
      if (!source.stamp.isNewerThan(pull.target)) {
        wait = Math.max(wait, hedgeNanos(pull, nowNanos));
      }
    }
    return wait;
  }
}
