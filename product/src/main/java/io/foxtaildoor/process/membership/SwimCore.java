package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.NodeRecordMessage;
import io.foxtaildoor.protocol.StateExchange;
import io.foxtaildoor.protocol.UrgentUpdates;
import io.foxtaildoor.protocol.VersionNotice;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The SWIM protocol, without I/O and without a clock. One thread at a time passes events and the
 * current time to it, and then takes its outputs with {@link #drain()}. The node table and the
 * upstream index may be read by any thread.
 */
final class SwimCore {
  /**
   * Interval between two calls of {@link #tick}. A received datagram triggers an urgent push only
   * if the last one was at least this long ago.
   */
  static final Duration TICK = Duration.ofMillis(100);

  /** A longer interval between two ticks means that the process was paused. */
  private static final long PAUSE_THRESHOLD_NANOS = Duration.ofSeconds(1).toNanos();

  /** Maximum number of urgent records in one push; eight records fit into one datagram. */
  private static final int MAX_URGENT_RECORDS = 8;

  /**
   * Maximum number of pushes that await their repetition; the records of further pushes are
   * repeated only by gossip.
   */
  private static final int MAX_PENDING_REPEATS = 256;

  private static final long NEVER = Long.MIN_VALUE;

  /** An urgent push that is to be repeated once. */
  private record RepeatedPush(long dueAt, List<NodeRecord> records) {}

  private final MembershipSettings settings;
  private final NodeRecordCodec codec;
  private final LocalNode local;
  private final NodeTable table = new NodeTable();
  private final UpstreamIndex index;
  private final MembershipCounters counters;
  private final Outbox outbox;
  private final FleetState fleet;
  private final Prober prober;
  private final StateExchanges exchanges;
  private final StateExchangeScheduler exchangeScheduler;
  private final StatusQueries statusQueries;
  private final Deque<RepeatedPush> pendingRepeats = new ArrayDeque<>();
  private long lastTickAt;
  private long lastUrgentAt;
  private long leavingRepeatAt = NEVER;

  SwimCore(
      MembershipSettings settings,
      NodeRecord self,
      MembershipCallbacks callbacks,
      MembershipCounters counters,
      RandomGenerator random) {
    this.settings = settings;
    this.counters = counters;
    codec = new NodeRecordCodec();
    local = new LocalNode(self, settings);
    index = new UpstreamIndex(self.id());
    GossipQueue queue = new GossipQueue();
    outbox = new Outbox(settings, codec, queue, local::record, callbacks.heldVersion());
    fleet = new FleetState(settings, local, table, index, queue, outbox, counters, random);
    exchanges = new StateExchanges(table, codec);
    exchangeScheduler =
        new StateExchangeScheduler(
            settings, codec, local, fleet, exchanges, outbox, counters, random);
    prober = new Prober(settings, codec, local, fleet, outbox, random, exchangeScheduler::request);
    statusQueries = new StatusQueries(local, table, outbox, callbacks.status());
  }

  NodeTable table() {
    return table;
  }

  UpstreamIndex index() {
    return index;
  }

  /** Returns the record of the local node; may be called by any thread. */
  NodeRecord self() {
    return local.record();
  }

  /** Returns the outputs collected since the last call. */
  List<SwimOutput> drain() {
    return outbox.drain();
  }

  /**
   * Sets the contact addresses, through which the node joins and rediscovers nodes after a
   * partition.
   */
  void setContacts(List<InetSocketAddress> contacts) {
    prober.setContacts(contacts);
    exchangeScheduler.setContacts(contacts);
  }

  /** Starts the periodic probes and the join. */
  void start(long nowNanos) {
    lastTickAt = nowNanos;
    lastUrgentAt = nowNanos;
    prober.start(nowNanos);
    exchangeScheduler.start(nowNanos);
  }

  /** Performs the periodic work that is due; must be called every {@link #TICK}. */
  void tick(long nowNanos) {
    long elapsed = nowNanos - lastTickAt;
    lastTickAt = nowNanos;
    if (elapsed > PAUSE_THRESHOLD_NANOS) {
      resumeAfterPause(elapsed, nowNanos);
    }
    if (local.expireAnnouncement(nowNanos)) {
      publishAndPushLocal(nowNanos);
    }
    fleet.expire(nowNanos);
    prober.tick(nowNanos);
    exchangeScheduler.tick(nowNanos);
    statusQueries.tick(nowNanos);
    if (leavingRepeatAt != NEVER && nowNanos - leavingRepeatAt >= 0) {
      leavingRepeatAt = NEVER;
      pushUrgent(List.of(local.record()), nowNanos);
      outbox.add(new SwimOutput.LeavingPushed());
    }
    repeatDuePush(nowNanos);
    flushUrgent(nowNanos);
  }

  /** Handles a datagram that {@link DatagramDecoder} accepted. */
  void onDatagram(InetSocketAddress from, Datagram datagram, long nowNanos) {
    NodeId sender = new NodeId(datagram.getSender());
    fleet.addresses().checkSender(from, sender, datagram.getSenderIncarnation(), nowNanos);
    long incarnation = local.record().incarnation();
    mergeUpdates(datagram, nowNanos);
    exchangeScheduler.joinThroughSender(from, table.record(sender) != null, nowNanos);
    boolean refuted = local.record().incarnation() != incarnation;
    reportVersion(from, VersionStamp.of(datagram.getHeld()));
    switch (datagram.getBodyCase()) {
      case PROBE -> prober.onProbe(from, sender, datagram.getProbe(), refuted, nowNanos);
      case ACK -> prober.onAck(from, sender, datagram.getAck(), nowNanos);
      case INDIRECT -> prober.onIndirectProbe(from, datagram.getIndirect(), nowNanos);
      case NOTICE -> onNotice(from, datagram);
      case STATUS_REQUEST -> statusQueries.onRequest(from, datagram.getStatusRequest(), nowNanos);
      case STATUS_REPLY -> statusQueries.onReply(sender, datagram.getStatusReply());
      case URGENT, BODY_NOT_SET -> {}
    }
    if (nowNanos - lastUrgentAt >= TICK.toNanos()) {
      flushUrgent(nowNanos);
    }
  }

  /** Handles the reply to a call; a null reply means that the call failed. */
  void onReply(long callId, Frame reply, long nowNanos) {
    exchangeScheduler.onReply(callId, reply, nowNanos);
  }

  /** Answers a state exchange frame of another node; may be called by any thread. */
  Frame answer(Frame request, long nowNanos) {
    return exchanges.answer(request, nowNanos);
  }

  /** Merges the records of a state exchange frame that was answered. */
  void mergeExchange(StateExchange exchange, long nowNanos) {
    exchangeScheduler.merge(exchange, nowNanos);
  }

  /** Announces the local upstream or renews its announcement. */
  void announce(ServiceId service, int slots, long startedAtNanos, long nowNanos) {
    if (local.announce(service, slots, startedAtNanos, nowNanos)) {
      fleet.publishLocalRecord();
    }
  }

  /**
   * Withdraws the announcement of the upstream and pushes the change at once, because a draining
   * upstream accepts no new work.
   */
  void withdraw(long nowNanos) {
    if (local.withdraw()) {
      publishAndPushLocal(nowNanos);
    }
  }

  /** Announces that the node is leaving, at once and again after the urgent repeat delay. */
  void leave(long nowNanos) {
    if (local.leave()) {
      publishAndPushLocal(nowNanos);
      leavingRepeatAt = nowNanos + settings.urgentRepeatDelay().toNanos();
    }
  }

  /** Announces that the node has left. */
  void markLeft(long nowNanos) {
    if (local.markLeft()) {
      publishAndPushLocal(nowNanos);
    }
  }

  /** Sends a version notice to random nodes, half of them in the local data centre if possible. */
  void sendNotices(VersionStamp stamp, int fanout, long nowNanos) {
    VersionNotice notice = VersionNotice.newBuilder().setHeld(stamp.toMessage()).build();
    List<NodeRecord> targets = new ArrayList<>(fanout);
    targets.addAll(
        fleet.sampler().sample(fanout / 2, node -> acceptsWork(node) && isInLocalDataCentre(node)));
    int remaining = fanout - targets.size();
    targets.addAll(
        fleet.sampler().sample(remaining, node -> acceptsWork(node) && !isInLocalDataCentre(node)));
    if (targets.size() < fanout) {
      fleet.sampler().sample(fanout, SwimCore::acceptsWork).stream()
          .filter(node -> !targets.contains(node))
          .limit((long) fanout - targets.size())
          .forEach(targets::add);
    }
    for (NodeRecord target : targets) {
      outbox.send(target.address(), outbox.newDatagram().setNotice(notice), List.of(), nowNanos);
    }
  }

  /** Starts a status query and returns its id. */
  long queryStatus(long nanos, long nowNanos) {
    return statusQueries.begin(nanos, nowNanos);
  }

  private void mergeUpdates(Datagram datagram, long nowNanos) {
    for (NodeRecordMessage message : datagram.getUpdatesList()) {
      NodeRecord record = codec.decode(message, nowNanos).orElse(null);
      if (record == null) {
        counters.increment(Counter.DROPPED_RECORDS);
      } else {
        fleet.merge(record, FleetState.Source.GOSSIP, nowNanos);
      }
    }
  }

  private void onNotice(InetSocketAddress from, Datagram datagram) {
    VersionStamp noticedVersion = VersionStamp.of(datagram.getNotice().getHeld());
    if (!noticedVersion.equals(VersionStamp.of(datagram.getHeld()))) {
      reportVersion(from, noticedVersion);
    }
  }

  private void reportVersion(InetSocketAddress from, VersionStamp stamp) {
    if (stamp.version() > 0) {
      outbox.add(new SwimOutput.VersionReceived(from, stamp));
    }
  }

  /**
   * Restarts the probes and extends the deadlines after a pause of the process. Answers that
   * arrived during the pause still wait in the socket and must not count as missing.
   */
  private void resumeAfterPause(long elapsed, long nowNanos) {
    fleet.extendSuspicions(elapsed);
    local.extendAnnouncement(elapsed);
    prober.start(nowNanos);
  }

  private void publishAndPushLocal(long nowNanos) {
    fleet.publishLocalRecord();
    pushUrgent(List.of(local.record()), nowNanos);
  }

  private void flushUrgent(long nowNanos) {
    if (!fleet.hasUrgent()) {
      return;
    }
    List<NodeRecord> records = fleet.takeUrgent(MAX_URGENT_RECORDS);
    pushUrgent(records, nowNanos);
    if (pendingRepeats.size() < MAX_PENDING_REPEATS) {
      pendingRepeats.addLast(
          new RepeatedPush(nowNanos + settings.urgentRepeatDelay().toNanos(), records));
    }
  }

  /**
   * Repeats an urgent push. If each node pushes once with a fan-out of 4, the update misses about
   * 2% of the nodes, which then learn it from a probe up to one probe period later; after a second
   * push it misses less than 0.1%.
   */
  private void repeatDuePush(long nowNanos) {
    RepeatedPush next = pendingRepeats.peekFirst();
    if (next != null && nowNanos - next.dueAt() >= 0) {
      pendingRepeats.removeFirst();
      pushUrgent(next.records(), nowNanos);
    }
  }

  private void pushUrgent(List<NodeRecord> records, long nowNanos) {
    lastUrgentAt = nowNanos;
    UrgentUpdates urgent = UrgentUpdates.getDefaultInstance();
    for (NodeRecord target :
        fleet.sampler().sample(settings.urgentFanout(), SwimCore::acceptsWork)) {
      outbox.send(target.address(), outbox.newDatagram().setUrgent(urgent), records, nowNanos);
    }
  }

  private boolean isInLocalDataCentre(NodeRecord node) {
    return node.dataCentre().equals(local.record().dataCentre());
  }

  private static boolean acceptsWork(NodeRecord node) {
    return node.state().acceptsWork();
  }
}
