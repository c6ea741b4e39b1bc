package io.foxtaildoor.experiments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Polls the operator listeners of nodes until each reports a version. */
final class VersionPoll {
  private static final Pattern VERSION = Pattern.compile("\"version\"\\s*:\\s*([0-9]+)");

  /**
   * Up to this number of nodes, the shortest interval is used. With more nodes the interval grows
   * in proportion, so that polling does not overload the host.
   */
  private static final int MAX_NODES_AT_SHORTEST_INTERVAL = 40;

  private static final int SHORTEST_INTERVAL_MILLIS = 10;
  private static final Duration TIMEOUT = Duration.ofMinutes(2);

  private final Http http;
  private final long version;
  private final long startNanos;
  private final long intervalMillis;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  /**
   * Time at which a node first reported the version.
   *
   * @param millis time from the start to the answer with the version, in milliseconds
   * @param gapMillis time from the sending of the last call that returned an older version, in
   *     milliseconds; the error of {@code millis} is at most this
   */
  record Seen(double millis, double gapMillis) {}

  private VersionPoll(Http http, long version, long startNanos, int nodes) {
    this.http = http;
    this.version = version;
    this.startNanos = startNanos;
    this.intervalMillis =
        Math.max(
            SHORTEST_INTERVAL_MILLIS,
            SHORTEST_INTERVAL_MILLIS * nodes / MAX_NODES_AT_SHORTEST_INTERVAL);
  }

  /** Polls all nodes and returns once each of them has reported the version or a later one. */
  static List<Seen> await(Http http, List<Integer> ports, long version, long startNanos) {
    VersionPoll poll = new VersionPoll(http, version, startNanos, ports.size());
    try {
      List<CompletableFuture<Seen>> seen = new ArrayList<>();
      for (int port : ports) {
        CompletableFuture<Seen> result = new CompletableFuture<>();
        seen.add(result.orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        poll.sendPoll(port, startNanos, result);
      }
      return seen.stream().map(CompletableFuture::join).toList();
    } finally {
      poll.timer.shutdownNow();
    }
  }

  private void sendPoll(int port, long lastOlderNanos, CompletableFuture<Seen> result) {
    long sentNanos = System.nanoTime();
    http.getTextAsync(port, "/v1/config")
        .thenAccept(
            body -> {
              long now = System.nanoTime();
              if (parseVersion(body) >= version) {
                result.complete(
                    new Seen(nanosToMillis(now - startNanos), nanosToMillis(now - lastOlderNanos)));
              } else if (!result.isDone()) {
                long waitMillis = intervalMillis - TimeUnit.NANOSECONDS.toMillis(now - sentNanos);
                timer.schedule(
                    () -> sendPoll(port, sentNanos, result),
                    Math.max(1, waitMillis),
                    TimeUnit.MILLISECONDS);
              }
            });
  }

  /** Returns the first version field of an answer; -1 when there is none. */
  static long parseVersion(String body) {
    Matcher matcher = VERSION.matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
  }

  private static double nanosToMillis(long nanos) {
    return nanos / 1e6;
  }
}
