package io.foxtaildoor.experiments;

import io.foxtaildoor.experiments.OutageCaller.Call;
import io.foxtaildoor.experiments.OutageMesh.Node;
import io.foxtaildoor.standins.managed.ManagedStore;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * Measures how soon live instances are used again, and whether departed ones are, when nodes are
 * killed and started again 0.2 s after the platform's store went down.
 */
final class RestartExperiment implements Experiment {
  private static final int NODES = 4;
  private static final long SETTLE_MILLIS = 4_000;
  private static final long RESTART_AFTER_MILLIS = 200;
  private static final long LATE_REPORT_AFTER_MILLIS = 2_500;
  private static final long WINDOW_MILLIS = 15_000;
  private static final long READINESS_POLL_MILLIS = 10;

  /** Longest time after the acknowledgement in which requests may reach a departed instance. */
  private static final Duration DRAIN = Duration.ofSeconds(2);

  private final List<Integer> restartedNodes = List.of(1, NODES / 2, NODES);

  @Override
  public void run(Options options, Report report) throws IOException {
    Path checkout =
        options.baseline == null ? Path.of("").toAbsolutePath() : options.baseline.toAbsolutePath();
    for (int i = 0; i < options.repetitions; i++) {
      for (int restarted : restartedNodes) {
        for (boolean departs : List.of(false, true)) {
          try (OutageMesh mesh = new OutageMesh(checkout)) {
            mesh.startNodes(NODES);
            new Measurement(mesh, restarted, departs).run(report);
          }
        }
      }
    }
  }

  /** One outage with restarts. */
  private static final class Measurement {
    private final OutageMesh mesh;
    private final int restarted;
    private final boolean departs;
    private final List<OutageCaller> callers = new ArrayList<>();
    private final long[] startNanos = new long[NODES];
    private final long[] readyNanos = new long[NODES];

    Measurement(OutageMesh mesh, int restarted, boolean departs) {
      this.mesh = mesh;
      this.restarted = restarted;
      this.departs = departs;
    }

    void run(Report report) throws IOException {
      for (int i = 0; i < NODES; i++) {
        OutageCaller caller = new OutageCaller("c" + i, mesh.nodes().get(i).callerPort());
        callers.add(caller);
        caller.start();
      }
      Pause.millis(SETTLE_MILLIS);
      long leftNanos = departs ? leave(mesh.nodes().get(0)) : 0;
      if (departs) {
        Pause.millis(RESTART_AFTER_MILLIS);
      }
      mesh.store().setMode(ManagedStore.Mode.RESET);
      Pause.millis(RESTART_AFTER_MILLIS);
      List<Thread> restarts = new ArrayList<>();
      for (int i = 0; i < restarted; i++) {
        int number = i;
        Thread thread = new Thread(() -> restart(number), "restart");
        thread.start();
        restarts.add(thread);
      }
      if (departs) {
        Pause.millis(LATE_REPORT_AFTER_MILLIS);
        mesh.nodes().get(0).sendLateReport();
      }
      restarts.forEach(Measurement::join);
      for (int i = 0; i < restarted; i++) {
        long endNanos = startNanos[i] + TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
        Pause.millis(Math.max(0, (endNanos - System.nanoTime()) / 1_000_000));
      }
      callers.forEach(OutageCaller::close);
      report.add(row(leftNanos));
    }

    private static long leave(Node node) {
      int status = node.leave();
      if (status != 200) {
        throw new IllegalStateException("the leave call was answered with " + status);
      }
      return System.nanoTime();
    }

    private void restart(int number) {
      Node node = mesh.nodes().get(number);
      try {
        startNanos[number] = mesh.restart(node);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      long endNanos = startNanos[number] + TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
      while (!node.isReady() && System.nanoTime() - endNanos < 0) {
        Pause.millis(READINESS_POLL_MILLIS);
      }
      readyNanos[number] = System.nanoTime();
    }

    private static void join(Thread thread) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException("interrupted", e);
      }
    }

    private Report.Row row(long leftNanos) {
      LongSummaryStatistics ready = new LongSummaryStatistics();
      LongSummaryStatistics first = new LongSummaryStatistics();
      long neverUsed = 0;
      long reachedOwn = 0;
      for (int i = 0; i < restarted; i++) {
        ready.accept(millis(readyNanos[i] - startNanos[i]));
        if (departs && i == 0) {
          continue;
        }
        List<Call> own = callsServedByOwnInstance(i);
        reachedOwn += own.size();
        if (own.isEmpty()) {
          neverUsed++;
        } else {
          long firstNanos = own.stream().mapToLong(Call::endNanos).min().getAsLong();
          first.accept(millis(firstNanos - startNanos[i]));
        }
      }
      return new Report.Row()
          .put("restarted", restarted + " of " + NODES)
          .put("departed", departs ? "yes" : "no")
          .put("readyMillis", range(ready))
          .put("ownInstanceFirstMillis", range(first))
          .put("ownInstanceUnused", neverUsed)
          .put("servedByOwnInstances", reachedOwn)
          .put("served", count(status -> status == 200))
          .put("refused503", count(status -> status == 503))
          .put("refused404", count(status -> status == 404))
          .put("otherStatus", count(s -> s > 0 && s != 200 && s != 503 && s != 404))
          .put("notConnected", count(status -> status == OutageCaller.NOT_CONNECTED))
          .put("noAnswer", count(status -> status == OutageCaller.NO_ANSWER))
          .put("reachedDeparted", departs ? reachedDeparted(leftNanos) : 0);
    }

    private static String range(LongSummaryStatistics values) {
      return values.getCount() == 0 ? "-" : values.getMin() + " to " + values.getMax();
    }

    private static long millis(long nanos) {
      return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** Returns the requests of any caller that a node's instance served after the restart. */
    private List<Call> callsServedByOwnInstance(int number) {
      String id = mesh.nodes().get(number).instanceId();
      return callers.stream()
          .flatMap(caller -> caller.calls().stream())
          .filter(call -> call.server().equals(id) && call.sentNanos() - startNanos[number] >= 0)
          .toList();
    }

    /** Counts requests of the callers beside restarted nodes by the status of their answers. */
    private long count(LongPredicate status) {
      long sum = 0;
      for (int i = 0; i < restarted; i++) {
        long startedNanos = startNanos[i];
        sum +=
            callers.get(i).calls().stream()
                .filter(call -> call.sentNanos() - startedNanos >= 0)
                .filter(call -> status.test(call.status()))
                .count();
      }
      return sum;
    }

    private long reachedDeparted(long leftNanos) {
      Set<String> executed = new HashSet<>(mesh.nodes().get(0).instance().executedRequestIds());
      return callers.stream()
          .flatMap(caller -> caller.calls().stream())
          .filter(call -> call.sentNanos() - leftNanos > DRAIN.toNanos())
          .filter(call -> executed.contains(call.requestId()))
          .count();
    }
  }
}
