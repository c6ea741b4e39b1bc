package io.foxtaildoor.version.distribution;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.connection.link.ControlCaller;
import io.foxtaildoor.connection.link.ControlHandler;
import io.foxtaildoor.process.platform.PublishedConfiguration;
import io.foxtaildoor.protocol.ConfigurationPull;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.ProtocolError;
import io.foxtaildoor.version.manifest.ApplyResult;
import io.foxtaildoor.version.manifest.ConfigurationHolder;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import io.foxtaildoor.version.manifest.VersionStamp;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Brings each version to this node and passes it on: pulls versions that it hears of, sends notices
 * of those that it applies, and answers the pulls of other nodes. Safe for use by several threads.
 *
 * <p>The lock is never held while the holder is called, because the holder calls this class under
 * its own lock.
 */
public final class ConfigurationDistributor
    implements PublishedConfiguration, ControlHandler, AutoCloseable {
  private static final System.Logger LOG =
      System.getLogger(ConfigurationDistributor.class.getName());

  private final DistributionSettings settings;
  private final ConfigurationHolder holder;
  private final ControlCaller caller;
  private final NoticeSender notices;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final DistributionMetrics metrics;
  private final PullAnswers answers;
  private final Object lock = new Object();
  private final PullPlanner planner;
  private final NoticePlan noticePlan;
  private final DeltaLog log;
  private ConfigurationSnapshot served;
  private boolean wakePlanned;
  private long wakeNanos;
  private boolean running;

  /**
   * Creates a distributor.
   *
   * @param caller calls other nodes; must complete every call
   * @param scheduler threads that serve no requests, because applying a version of 810 services
   *     takes tens of milliseconds
   * @param clock monotonic nanoseconds
   * @param random used under this object's lock only
   */
  public ConfigurationDistributor(
      DistributionSettings settings,
      ConfigurationHolder holder,
      ControlCaller caller,
      NoticeSender notices,
      TaskScheduler scheduler,
      LongSupplier clock,
      RandomGenerator random,
      MeterRegistry registry) {
    this.settings = settings;
    this.holder = holder;
    this.caller = caller;
    this.notices = notices;
    this.scheduler = scheduler;
    this.clock = clock;
    metrics = new DistributionMetrics(registry);
    answers = new PullAnswers(settings.maxFrameBytes());
    planner = new PullPlanner(settings, random);
    noticePlan = new NoticePlan(settings.noticeRepeat().toNanos());
    log = new DeltaLog(settings.loggedVersions());
    served = holder.current();
  }

  /** Starts pulling and sending notices; called once. */
  public void start() {
    synchronized (lock) {
      running = true;
    }
    holder.addListener(this::applied);
    ConfigurationSnapshot present = holder.current();
    if (present.stamp().isNewerThan(served().stamp())) {
      applied(present);
    }
  }

  private ConfigurationSnapshot served() {
    synchronized (lock) {
      return served;
    }
  }

  /** Stops pulling and sending notices; pulls of other nodes are answered still. */
  @Override
  public void close() {
    synchronized (lock) {
      running = false;
    }
  }

  @Override
  public ConfigurationSnapshot held() {
    return holder.current();
  }

  /** Offers a version that the platform has confirmed; called by the entry node or a reader. */
  @Override
  public ApplyResult published(Manifest manifest, Map<Digest, byte[]> parts) {
    return offer(manifest, parts);
  }

  /** Takes the stamp of any datagram from another node. */
  public void heard(InetSocketAddress from, VersionStamp stamp) {
    VersionStamp held = holder.current().stamp();
    if (!stamp.isNewerThan(held)) {
      if (stamp.version() == held.version() && !stamp.equals(held)) {
        metrics.conflicting.increment();
      }
      return;
    }
    synchronized (lock) {
      metrics.heard(stamp.version(), clock.getAsLong());
      planner.heard(from, stamp);
    }
    work();
  }

  /** Answers a {@code ConfigurationPull} or a {@code PartRequest} frame. */
  @Override
  public Frame handle(Frame request) {
    Frame.Builder answer = Frame.newBuilder();
    synchronized (lock) {
      switch (request.getBodyCase()) {
        case CONFIGURATION_PULL -> {
          VersionStamp receiver = VersionStamp.of(request.getConfigurationPull().getHeld());
          answer.setConfigurationUpdate(answers.update(receiver, served, log));
        }
        case PART_REQUEST ->
            answer.setPartResponse(answers.parts(request.getPartRequest(), served));
        default ->
            answer.setError(
                ProtocolError.newBuilder()
                    .setKind(ErrorKind.PROTOCOL_VIOLATION.name())
                    .setDetail("not a configuration request"));
      }
    }
    Frame frame = answer.build();
    metrics.sentBytes.increment(frame.getSerializedSize());
    return frame;
  }

  private void applied(ConfigurationSnapshot next) {
    VersionStamp former;
    synchronized (lock) {
      if (!next.stamp().isNewerThan(served.stamp())) {
        return;
      }
      long now = clock.getAsLong();
      former = served.stamp();
      log.add(served.manifest(), next.manifest());
      served = next;
      noticePlan.applied(next.stamp(), now);
      metrics.applied(next.stamp().version(), now);
    }
    LOG.log(
        System.Logger.Level.INFO,
        "version {0} is in force after version {1}",
        Long.toString(next.stamp().version()),
        Long.toString(former.version()));
    scheduler.schedule(0, this::work);
  }

  private ApplyResult offer(Manifest manifest, Map<Digest, byte[]> parts) {
    ApplyResult result = holder.offer(manifest.stamp(), manifest, parts);
    if (result instanceof ApplyResult.Rejected rejection) {
      metrics.rejected.increment();
      LOG.log(
          System.Logger.Level.ERROR,
          "version {0} was rejected: {1}",
          rejection.offered(),
          rejection.reason());
      synchronized (lock) {
        planner.rejected(rejection.offered());
      }
    }
    return result;
  }

  /** Does what is due now and plans the next time. */
  private void work() {
    Optional<VersionStamp> notice;
    Optional<PullPlanner.Pull> pull;
    do {
      synchronized (lock) {
        if (!running) {
          return;
        }
        long now = clock.getAsLong();
        notice = noticePlan.take(now);
        pull = planner.next(now, served.stamp());
      }
      notice.ifPresent(stamp -> notices.sendNotices(stamp, settings.fanout()));
      pull.ifPresent(this::pull);
    } while (notice.isPresent() || pull.isPresent());
    planWake();
  }

  private void planWake() {
    long wait;
    synchronized (lock) {
      long now = clock.getAsLong();
      wait = Math.min(noticePlan.nanosUntilNext(now), planner.nanosUntilNext(now, served.stamp()));
      if (wait == Long.MAX_VALUE || (wakePlanned && wakeNanos - now <= wait)) {
        return;
      }
      wakePlanned = true;
      wakeNanos = now + wait;
    }
    scheduler.schedule(wait, this::wake);
  }

  private void wake() {
    synchronized (lock) {
      wakePlanned = false;
    }
    work();
  }

  private void pull(PullPlanner.Pull pull) {
    metrics.pulls.increment();
    ConfigurationSnapshot base = holder.current();
    PullSession session = new PullSession(base);
    ConfigurationPull message =
        ConfigurationPull.newBuilder().setHeld(base.stamp().toMessage()).build();
    call(
        pull,
        Frame.newBuilder().setConfigurationPull(message).build(),
        answer -> {
          check(answer.hasConfigurationUpdate(), "not the answer to a pull");
          if (session.update(answer.getConfigurationUpdate())) {
            proceed(pull, session);
          } else {
            answered(pull, session);
          }
        });
  }

  private void proceed(PullPlanner.Pull pull, PullSession session) {
    if (session.complete()) {
      offer(session.manifest(), session.parts());
      answered(pull, session);
      return;
    }
    call(
        pull,
        Frame.newBuilder().setPartRequest(session.request()).build(),
        answer -> {
          check(answer.hasPartResponse(), "not the answer to a part request");
          session.parts(answer.getPartResponse());
          proceed(pull, session);
        });
  }

  private void call(PullPlanner.Pull pull, Frame request, Consumer<Frame> next) {
    metrics.sentBytes.increment(request.getSerializedSize());
    CompletableFuture<Void> unused =
        caller
            .call(pull.source(), request)
            .thenAcceptAsync(
                answer -> {
                  metrics.receivedBytes.increment(answer.getSerializedSize());
                  if (current(pull)) {
                    next.accept(answer);
                  }
                },
                task -> scheduler.schedule(0, task))
            .exceptionally(
                e -> {
                  failed(pull, e);
                  return null;
                });
  }

  private boolean current(PullPlanner.Pull pull) {
    synchronized (lock) {
      return running && planner.isInFlight(pull);
    }
  }

  private void answered(PullPlanner.Pull pull, PullSession session) {
    synchronized (lock) {
      planner.answered(pull, session.target(), clock.getAsLong());
    }
    work();
  }

  private void failed(PullPlanner.Pull pull, Throwable cause) {
    metrics.failedPulls.increment();
    Throwable reason = cause.getCause() == null ? cause : cause.getCause();
    LOG.log(
        System.Logger.Level.DEBUG, "pull from {0} failed: {1}", pull.source(), reason.getMessage());
    synchronized (lock) {
      planner.failed(pull, clock.getAsLong());
    }
    work();
  }

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.PROTOCOL_VIOLATION, message);
    }
  }
}
