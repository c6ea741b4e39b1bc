package io.foxtaildoor.standins.upstream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Serves jobs in a bounded number of slots, with a bounded queue before them. All state is confined
 * to one event loop.
 */
final class SlotServer {
  /** Service time of the first request after the start, as a multiple of the normal one. */
  private static final double COLD_FACTOR = 4;

  private static final int STATUS_HEALTHY = 200;
  private static final int STATUS_UNHEALTHY = 503;

  private final StandInOptions options;
  private final EventLoop loop;
  private final SplittableRandom random;
  private final ExecutionLog executions = new ExecutionLog();
  private final Queue<Job> queue = new ArrayDeque<>();
  private final long startedAtNanos = System.nanoTime();
  private Behaviour behaviour = Behaviour.NORMAL;
  private int busySlots;
  private boolean draining;

  SlotServer(StandInOptions options, EventLoop loop) {
    this.options = options;
    this.loop = loop;
    this.random = new SplittableRandom(options.seed);
  }

  ExecutionLog executions() {
    return executions;
  }

  Behaviour behaviour() {
    return behaviour;
  }

  void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  void drain() {
    draining = true;
  }

  boolean isDraining() {
    return draining;
  }

  int inFlight() {
    return busySlots + queue.size();
  }

  int healthStatus() {
    int actualStatus = draining ? STATUS_UNHEALTHY : STATUS_HEALTHY;
    return behaviour.health() == null ? actualStatus : behaviour.health();
  }

  ObjectNode load() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("inFlight", behaviour.load() == null ? busySlots : behaviour.load())
        .put("queued", queue.size())
        .put("slots", options.slots);
  }

  /** Decides at random, by the configured share, whether the faults apply to the next request. */
  Behaviour drawBehaviour() {
    return behaviour.appliesTo(random.nextDouble()) ? behaviour : Behaviour.NORMAL;
  }

  /**
   * Starts or queues a job.
   *
   * @return false when the job is shed: during a drain, by an injected fault, or when all slots and
   *     the queue are full
   */
  boolean offer(Job job) {
    if (draining || job.behaviour().shed() || queue.size() >= options.queue + freeSlots()) {
      executions.recordShed();
      return false;
    }
    queue.add(job);
    startQueuedJobs();
    return true;
  }

  private int freeSlots() {
    return Math.max(0, options.slots - busySlots);
  }

  private void startQueuedJobs() {
    while (busySlots < options.slots && !queue.isEmpty()) {
      Job job = queue.remove();
      if (job.isExpired(System.nanoTime())) {
        executions.recordExpiry();
        job.expire();
      } else {
        start(job);
      }
    }
  }

  private void start(Job job) {
    busySlots++;
    executions.recordStart(job.id());
    job.setReleaseAction(
        () -> {
          busySlots--;
          startQueuedJobs();
        });
    if (job.behaviour().hang()) {
      return;
    }
    long nanos = (long) (drawServiceNanos() * job.behaviour().slowFactorOrDefault());
    long lateNanos = TimeUnit.MILLISECONDS.toNanos(job.behaviour().lateMillis());
    job.setCompletionTimer(
        loop.schedule(() -> finish(job, lateNanos > 0), nanos + lateNanos, TimeUnit.NANOSECONDS));
  }

  /**
   * Draws a service time between 0.5 and 1.5 times the mean. During the cold start it is multiplied
   * by a factor that falls linearly from {@link #COLD_FACTOR} to 1.
   */
  private long drawServiceNanos() {
    long meanNanos = TimeUnit.MILLISECONDS.toNanos(options.serviceTimeMillis);
    double ageNanos = System.nanoTime() - startedAtNanos;
    double warmUpProgress =
        options.coldStartMillis == 0
            ? 1
            : Math.min(1, ageNanos / TimeUnit.MILLISECONDS.toNanos(options.coldStartMillis));
    double coldFactor = COLD_FACTOR + (1 - COLD_FACTOR) * warmUpProgress;
    return (long) (meanNanos * coldFactor * (0.5 + random.nextDouble()));
  }

  private void finish(Job job, boolean ignoreDeadline) {
    if (!ignoreDeadline && job.isExpired(System.nanoTime())) {
      executions.recordExpiry();
      job.expire();
    } else {
      executions.recordCompletion(job.id());
      job.answer();
    }
    job.releaseSlot();
  }

  /** Cancels a job whose connection was closed, and frees its slot or its place in the queue. */
  void cancel(Job job) {
    if (job.cancel()) {
      if (!queue.remove(job)) {
        job.releaseSlot();
      }
      executions.recordCancellation();
    }
  }
}
