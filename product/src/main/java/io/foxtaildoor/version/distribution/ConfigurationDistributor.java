package io.foxtaildoor.version.distribution;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.connection.link.ControlCaller;
import io.foxtaildoor.connection.link.ControlHandler;
import io.foxtaildoor.process.platform.PublishedConfigurationReceiver;
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
 * Distributes configuration versions between nodes: pulls newer versions that other nodes announce,
 * sends notices of the versions applied on this node, and answers the pulls of other nodes.
 * Thread-safe.
 *
 * <p>The lock is never held while the {@link ConfigurationHolder} is called, because the holder
 * calls this class while it holds its own lock; calls in both directions under a lock could
 * deadlock.
 */
public final class ConfigurationDistributor
    implements PublishedConfigurationReceiver, ControlHandler, AutoCloseable {
  private static final System.Logger LOG =
      System.getLogger(ConfigurationDistributor.class.getName());

  private final DistributionSettings settings;
  private final ConfigurationHolder holder;
  private final ControlCaller caller;
  private final NoticeSender notices;
  private final TaskScheduler scheduler;
  private final LongSupplier clock;
  private final DistributionMetrics metrics;
  private final PullResponder responder;
  private final Object lock = new Object();
  private final PullPlanner planner;
  private final NoticeSchedule noticeSchedule;
  private final DeltaLog deltaLog;
  private ConfigurationSnapshot served;
  private boolean wakeupScheduled;
  private long wakeupNanos;
  private boolean running;

  /**
   * Creates a distributor.
   *
   * @param caller sends requests to other nodes; must complete the future of every call
   * @param scheduler runs tasks on threads that serve no requests, because applying a version with
   *     810 services takes tens of milliseconds
   * @param clock monotonic clock in nanoseconds
   * @param random used only under this object's lock, so it need not be thread-safe
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
    responder = new PullResponder(settings.maxFrameBytes());
    planner = new PullPlanner(settings, random);
    noticeSchedule = new NoticeSchedule(settings.noticeRepeat().toNanos());
    deltaLog = new DeltaLog(settings.loggedVersions());
    served = holder.current();
  }

  /** Starts pulling and sending notices. Must be called only once. */
  public void start() {
    synchronized (lock) {
      running = true;
    }
    holder.addListener(this::onApplied);
    ConfigurationSnapshot current = holder.current();
    if (current.stamp().isNewerThan(served().stamp())) {
      onApplied(current);
    }
  }

  private ConfigurationSnapshot served() {
    synchronized (lock) {
      return served;
    }
  }

  /** Stops pulling and sending notices. Pulls of other nodes are still answered. */
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

  /**
   * Offers a version that the platform has confirmed to this node. Called on the node that handled
   * the approval and on nodes that read versions from the platform.
   */
  @Override
  public ApplyResult onPublished(Manifest manifest, Map<Digest, byte[]> parts) {
    return offer(manifest, parts);
  }

  /** Processes the version stamp of a datagram received from another node. */
  public void stampReceived(InetSocketAddress from, VersionStamp stamp) {
    VersionStamp held = holder.current().stamp();
    if (!stamp.isNewerThan(held)) {
      if (stamp.version() == held.version() && !stamp.equals(held)) {
        metrics.conflictingStamps.increment();
      }
      return;
    }
    synchronized (lock) {
      metrics.recordHeard(stamp.version(), clock.getAsLong());
      planner.recordOffer(from, stamp);
    }
    runDueTasks();
  }

  /** Answers a {@code ConfigurationPull} or {@code PartRequest} frame of another node. */
  @Override
  public Frame handle(Frame request) {
    Frame.Builder response = Frame.newBuilder();
    synchronized (lock) {
      switch (request.getBodyCase()) {
        case CONFIGURATION_PULL -> {
          VersionStamp receiver = VersionStamp.of(request.getConfigurationPull().getHeld());
          response.setConfigurationUpdate(responder.answerPull(receiver, served, deltaLog));
        }
        case PART_REQUEST ->
            response.setPartResponse(responder.answerPartRequest(request.getPartRequest(), served));
        default ->
            response.setError(
                ProtocolError.newBuilder()
                    .setKind(ErrorKind.PROTOCOL_VIOLATION.name())
                    .setDetail("the frame is neither a configuration pull nor a part request"));
      }
    }
    Frame frame = response.build();
    metrics.sentBytes.increment(frame.getSerializedSize());
    return frame;
  }

  private void onApplied(ConfigurationSnapshot nextVersion) {
    VersionStamp previous;
    synchronized (lock) {
      if (!nextVersion.stamp().isNewerThan(served.stamp())) {
        return;
      }
      long now = clock.getAsLong();
      previous = served.stamp();
      deltaLog.add(served.manifest(), nextVersion.manifest());
      served = nextVersion;
      noticeSchedule.scheduleNotices(nextVersion.stamp(), now);
      metrics.recordApplied(nextVersion.stamp().version(), now);
    }
    LOG.log(
        System.Logger.Level.INFO,
        "version {0} is in force after version {1}",
        Long.toString(nextVersion.stamp().version()),
        Long.toString(previous.version()));
    scheduler.schedule(0, this::runDueTasks);
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
        planner.recordRejected(rejection.offered());
      }
    }
    return result;
  }

  /** Sends the notices and starts the pulls that are due, then schedules the next wakeup. */
  private void runDueTasks() {
    Optional<VersionStamp> dueNotice;
    Optional<PullPlanner.Pull> pull;
    do {
      synchronized (lock) {
        if (!running) {
          return;
        }
        long now = clock.getAsLong();
        dueNotice = noticeSchedule.takeDueNotice(now);
        pull = planner.startNextPull(now, served.stamp());
      }
      dueNotice.ifPresent(stamp -> notices.sendNotices(stamp, settings.fanout()));
      pull.ifPresent(this::startPull);
    } while (dueNotice.isPresent() || pull.isPresent());
    scheduleWakeup();
  }

  private void scheduleWakeup() {
    long waitNanos;
    synchronized (lock) {
      long now = clock.getAsLong();
      waitNanos =
          Math.min(noticeSchedule.nanosUntilNext(now), planner.nanosUntilNext(now, served.stamp()));
      if (waitNanos == Long.MAX_VALUE || (wakeupScheduled && wakeupNanos - now <= waitNanos)) {
        return;
      }
      wakeupScheduled = true;
      wakeupNanos = now + waitNanos;
    }
    scheduler.schedule(waitNanos, this::onWakeup);
  }

  private void onWakeup() {
    synchronized (lock) {
      wakeupScheduled = false;
    }
    runDueTasks();
  }

  private void startPull(PullPlanner.Pull pull) {
    metrics.pulls.increment();
    ConfigurationSnapshot base = holder.current();
    PullSession session = new PullSession(base);
    ConfigurationPull pullMessage =
        ConfigurationPull.newBuilder().setHeld(base.stamp().toMessage()).build();
    call(
        pull,
        Frame.newBuilder().setConfigurationPull(pullMessage).build(),
        answer -> {
          checkProtocol(
              answer.hasConfigurationUpdate(),
              "the response to a configuration pull is not a configuration update");
          if (session.applyUpdate(answer.getConfigurationUpdate())) {
            requestPartsOrOffer(pull, session);
          } else {
            onPullAnswered(pull, session);
          }
        });
  }

  private void requestPartsOrOffer(PullPlanner.Pull pull, PullSession session) {
    if (session.isComplete()) {
      offer(session.manifest(), session.parts());
      onPullAnswered(pull, session);
      return;
    }
    call(
        pull,
        Frame.newBuilder().setPartRequest(session.nextPartRequest()).build(),
        answer -> {
          checkProtocol(
              answer.hasPartResponse(), "the response to a part request is not a part response");
          session.addParts(answer.getPartResponse());
          requestPartsOrOffer(pull, session);
        });
  }

  private void call(PullPlanner.Pull pull, Frame request, Consumer<Frame> responseHandler) {
    metrics.sentBytes.increment(request.getSerializedSize());
    CompletableFuture<Void> unused =
        caller
            .call(pull.source(), request)
            .thenAcceptAsync(
                answer -> {
                  metrics.receivedBytes.increment(answer.getSerializedSize());
                  if (isCurrent(pull)) {
                    responseHandler.accept(answer);
                  }
                },
                task -> scheduler.schedule(0, task))
            .exceptionally(
                e -> {
                  onPullFailed(pull, e);
                  return null;
                });
  }

  private boolean isCurrent(PullPlanner.Pull pull) {
    synchronized (lock) {
      return running && planner.isInFlight(pull);
    }
  }

  private void onPullAnswered(PullPlanner.Pull pull, PullSession session) {
    synchronized (lock) {
      planner.recordAnswer(pull, session.target(), clock.getAsLong());
    }
    runDueTasks();
  }

  private void onPullFailed(PullPlanner.Pull pull, Throwable error) {
    metrics.failedPulls.increment();
    Throwable reason = error.getCause() == null ? error : error.getCause();
    LOG.log(
        System.Logger.Level.DEBUG, "pull from {0} failed: {1}", pull.source(), reason.getMessage());
    synchronized (lock) {
      planner.recordFailure(pull, clock.getAsLong());
    }
    runDueTasks();
  }

  private static void checkProtocol(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.PROTOCOL_VIOLATION, message);
    }
  }
}
