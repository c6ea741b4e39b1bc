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

  private static final int HEALTH_UP = 200;
  private static final int HEALTH_DOWN = 503;

  private final StandInOptions options;
  private final EventLoop loop;
  private final SplittableRandom random;
  private final ExecutionLog log = new ExecutionLog();
  private final Queue<Job> queue = new ArrayDeque<>();
  private final long startedAtNanos = System.nanoTime();
  private Behaviour behaviour = Behaviour.NORMAL;
  private int busy;
  private boolean draining;

  SlotServer(StandInOptions options, EventLoop loop) {
    this.options = options;
    this.loop = loop;
    this.random = new SplittableRandom(options.seed);
  }

  ExecutionLog log() {
    return log;
  }

  Behaviour behaviour() {
    return behaviour;
  }

  void behave(Behaviour next) {
    behaviour = next;
  }

  void drain() {
    draining = true;
  }

  boolean isDraining() {
    return draining;
  }

  int inFlight() {
    return busy + queue.size();
  }

  int health() {
    int truth = draining ? HEALTH_DOWN : HEALTH_UP;
    return behaviour.health() == null ? truth : behaviour.health();
  }

  ObjectNode load() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("inFlight", behaviour.load() == null ? busy : behaviour.load())
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
      log.shed();
      return false;
    }
    queue.add(job);
    startNext();
    return true;
  }

  private int freeSlots() {
    return Math.max(0, options.slots - busy);
  }

  private void startNext() {
    while (busy < options.slots && !queue.isEmpty()) {
      Job job = queue.remove();
      if (job.isExpired(System.nanoTime())) {
        log.expired();
        job.expire();
      } else {
        start(job);
      }
    }
  }

  private void start(Job job) {
    busy++;
    log.started(job.id());
    job.onEnd(
        () -> {
          busy--;
          startNext();
        });
    if (job.behaviour().hang()) {
      return;
    }
    long nanos = (long) (serviceNanos() * job.behaviour().factor());
    long late = TimeUnit.MILLISECONDS.toNanos(job.behaviour().lateMillis());
    job.timer(loop.schedule(() -> finish(job, late > 0), nanos + late, TimeUnit.NANOSECONDS));
  }

  /**
   * Draws a service time between 0.5 and 1.5 times the mean. During the cold start it is multiplied
   * by a factor that falls linearly from {@link #COLD_FACTOR} to 1.
   */
  private long serviceNanos() {
    long mean = TimeUnit.MILLISECONDS.toNanos(options.serviceTimeMillis);
    double age = System.nanoTime() - startedAtNanos;
    double warm =
        options.coldStartMillis == 0
            ? 1
            : Math.min(1, age / TimeUnit.MILLISECONDS.toNanos(options.coldStartMillis));
    double cold = COLD_FACTOR + (1 - COLD_FACTOR) * warm;
    return (long) (mean * cold * (0.5 + random.nextDouble()));
  }

  private void finish(Job job, boolean ignoreDeadline) {
    if (!ignoreDeadline && job.isExpired(System.nanoTime())) {
      log.expired();
      job.expire();
    } else {
      log.completed(job.id());
      job.answer();
    }
    job.end();
  }

  /** Cancels a job whose connection was closed, and frees its slot or its place in the queue. */
  void cancel(Job job) {
    if (job.cancel()) {
      if (!queue.remove(job)) {
        job.end();
      }
      log.cancelled();
    }
  }
}
