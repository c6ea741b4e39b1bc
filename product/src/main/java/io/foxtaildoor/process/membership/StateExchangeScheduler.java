package io.foxtaildoor.process.membership;

import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.NodeRecordMessage;
import io.foxtaildoor.protocol.StateDigest;
import io.foxtaildoor.protocol.StateExchange;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Starts state exchanges, which reconcile the node tables of two nodes: on joining through a
 * contact address, then periodically with a random node. One exchange runs at a time.
 */
final class StateExchangeScheduler {
  /**
   * Buckets requested in one frame. At 12,000 nodes, 16 buckets hold about 750 records (70 KB); at
   * the largest record size they stay within a quarter of the frame limit.
   */
  private static final int BUCKETS_PER_FRAME = 16;

  /** Time after which a call without a reply counts as failed. */
  private static final long CALL_TIMEOUT_NANOS = Duration.ofSeconds(15).toNanos();

  /** Largest number of records changed by one exchange frame that are still passed on by gossip. */
  private static final int MAX_GOSSIPED_RECORDS = 16;

  /**
   * An exchange that changed more records than this is soon followed by another one: after a mass
   * restart the contacts themselves are still learning about nodes, and after a partition nodes are
   * still refuting reports of their death. In the steady state an exchange changes less than one
   * record on average: only updates that gossip has not delivered yet.
   */
  private static final int FOLLOW_UP_THRESHOLD = 4;

  /**
   * Initial mean wait before an exchange that follows one with many changes; doubles with each such
   * exchange, up to the exchange period.
   */
  private static final long INITIAL_FOLLOW_UP_NANOS = Duration.ofSeconds(10).toNanos();

  private final MembershipSettings settings;
  private final NodeRecordCodec codec;
  private final LocalNode local;
  private final FleetState fleet;
  private final StateExchanges exchanges;
  private final Outbox outbox;
  private final MembershipCounters counters;
  private final RandomGenerator random;
  private final Deque<Integer> pendingBuckets = new ArrayDeque<>();
  private List<InetSocketAddress> contacts = List.of();
  private InetSocketAddress peer;
  private InetSocketAddress requestedPeer;
  private InetSocketAddress lastRequestedPeer;
  private long lastRequestAt;
  private List<Integer> requestedBuckets = List.of();
  private List<NodeRecord> changedRecords = new ArrayList<>();
  private int changeCount;
  private boolean exchangeRunning;
  private boolean joined;
  private long callId;
  private long callStartedAt;
  private long followUpWaitNanos = INITIAL_FOLLOW_UP_NANOS;
  private long nextExchangeAt;

  StateExchangeScheduler(
      MembershipSettings settings,
      NodeRecordCodec codec,
      LocalNode local,
      FleetState fleet,
      StateExchanges exchanges,
      Outbox outbox,
      MembershipCounters counters,
      RandomGenerator random) {
    this.settings = settings;
    this.codec = codec;
    this.local = local;
    this.fleet = fleet;
    this.exchanges = exchanges;
    this.outbox = outbox;
    this.counters = counters;
    this.random = random;
  }

  void setContacts(List<InetSocketAddress> addresses) {
    contacts = List.copyOf(addresses);
  }

  /**
   * Schedules the join after a random wait of up to one probe period, which spreads the load of a
   * mass restart.
   */
  void start(long nowNanos) {
    nextExchangeAt = nowNanos + random.nextLong(settings.probePeriod().toNanos());
  }

  /** Starts an exchange when one is due, and fails the running one when its call has timed out. */
  void tick(long nowNanos) {
    if (exchangeRunning && nowNanos - callStartedAt >= CALL_TIMEOUT_NANOS) {
      failExchange(nowNanos);
    }
    if (exchangeRunning || nowNanos - nextExchangeAt < 0) {
      return;
    }
    peer = requestedPeer == null ? choosePeer() : requestedPeer;
    requestedPeer = null;
    if (peer == null) {
      markJoinedIfAlone();
      nextExchangeAt = nowNanos + randomRetryDelay();
      return;
    }
    exchangeRunning = true;
    changeCount = 0;
    pendingBuckets.clear();
    call(peer, exchanges.digestFrame(), nowNanos);
  }

  /**
   * Requests an exchange with a rediscovered node. Repeated requests for the same address within
   * half an exchange period are ignored, because a contact address may be an alias that appears in
   * no record.
   */
  void request(InetSocketAddress address, long nowNanos) {
    long sinceLast = nowNanos - lastRequestAt;
    if (address.equals(lastRequestedPeer) && sinceLast < settings.exchangePeriod().toNanos() / 2) {
      return;
    }
    lastRequestedPeer = address;
    lastRequestAt = nowNanos;
    requestedPeer = address;
    if (!exchangeRunning) {
      nextExchangeAt = nowNanos;
    }
  }

  /**
   * Requests an exchange with the sender of a datagram while the node knows no contact address, if
   * the node has not joined or does not know the sender. The platform that holds the addresses may
   * be down when a node restarts, and other nodes still send datagrams to its address. The node
   * through which it joined may have restarted as well and know as little.
   *
   * @param isKnown whether the node has a record of the sender
   */
  void joinThroughSender(InetSocketAddress sender, boolean isKnown, long nowNanos) {
    if ((!joined || !isKnown) && contacts.isEmpty() && !exchangeRunning) {
      request(sender, nowNanos);
    }
  }

  /** Handles the reply to a call; a null reply means that the call failed. */
  void onReply(long id, Frame reply, long nowNanos) {
    if (!exchangeRunning || id != callId) {
      return;
    }
    if (reply == null) {
      failExchange(nowNanos);
      return;
    }
    switch (reply.getBodyCase()) {
      case STATE_DIGEST -> onDigest(reply.getStateDigest(), nowNanos);
      case STATE_EXCHANGE -> onRecords(reply.getStateExchange(), nowNanos);
      default -> failExchange(nowNanos);
    }
  }

  /** Merges the records that another node sent in an exchange. */
  void merge(StateExchange exchange, long nowNanos) {
    changedRecords = new ArrayList<>();
    for (NodeRecordMessage message : exchange.getRecordsList()) {
      codec
          .decode(message, nowNanos)
          .ifPresentOrElse(
              record -> mergeRecord(record, nowNanos),
              () -> counters.increment(Counter.DROPPED_RECORDS));
    }
    // A few changes are updates that gossip has missed and are passed on. Many changes mean a join
    // or a healed partition; exchanges spread those at a lower cost than gossip.
    if (changedRecords.size() <= MAX_GOSSIPED_RECORDS) {
      changedRecords.forEach(this::gossipCurrentRecord);
    }
    changeCount += changedRecords.size();
  }

  private void gossipCurrentRecord(NodeRecord record) {
    NodeRecord current = fleet.liveRecord(record.id());
    if (current != null) {
      fleet.gossip(current);
    }
  }

  private void mergeRecord(NodeRecord record, long nowNanos) {
    if (fleet.merge(record, FleetState.Source.EXCHANGE, nowNanos)) {
      changedRecords.add(record);
    }
  }

  private void onDigest(StateDigest digest, long nowNanos) {
    pendingBuckets.addAll(exchanges.differingBuckets(digest));
    requestNextBuckets(nowNanos);
  }

  private void onRecords(StateExchange exchange, long nowNanos) {
    merge(exchange, nowNanos);
    List<Integer> unanswered = new ArrayList<>(requestedBuckets);
    unanswered.removeAll(exchange.getBucketsList());
    // Buckets that the reply leaves out are requested again, unless it contains none of the
    // requested buckets: that request would be repeated forever.
    if (unanswered.size() < requestedBuckets.size()) {
      pendingBuckets.addAll(unanswered);
    }
    requestNextBuckets(nowNanos);
  }

  private void requestNextBuckets(long nowNanos) {
    if (pendingBuckets.isEmpty()) {
      finishExchange(nowNanos);
      return;
    }
    requestedBuckets = new ArrayList<>();
    while (!pendingBuckets.isEmpty() && requestedBuckets.size() < BUCKETS_PER_FRAME) {
      requestedBuckets.add(pendingBuckets.removeFirst());
    }
    call(choosePeerForBuckets(), exchanges.recordsFrame(requestedBuckets, nowNanos), nowNanos);
  }

  /**
   * While the node joins, only the first records are requested from the contact address; the others
   * come from nodes named in those records, so that the contacts are not overloaded after a mass
   * restart.
   */
  private InetSocketAddress choosePeerForBuckets() {
    if (joined || changeCount == 0) {
      return peer;
    }
    NodeRecord other = fleet.sampler().sampleOne(node -> node.state() == NodeState.ALIVE);
    return other == null ? peer : other.address();
  }

  private void finishExchange(long nowNanos) {
    exchangeRunning = false;
    long period = settings.exchangePeriod().toNanos();
    long wait = changeCount > FOLLOW_UP_THRESHOLD ? Math.min(followUpWaitNanos, period) : period;
    followUpWaitNanos = changeCount > FOLLOW_UP_THRESHOLD ? 2 * wait : INITIAL_FOLLOW_UP_NANOS;
    nextExchangeAt = nowNanos + wait / 2 + random.nextLong(wait);
    if (requestedPeer != null) {
      nextExchangeAt = nowNanos;
    }
    if (!joined) {
      joined = true;
      outbox.add(new SwimOutput.Joined());
    }
  }

  private void failExchange(long nowNanos) {
    exchangeRunning = false;
    counters.increment(Counter.FAILED_EXCHANGES);
    nextExchangeAt = nowNanos + randomRetryDelay();
  }

  private void call(InetSocketAddress address, Frame request, long nowNanos) {
    callId++;
    callStartedAt = nowNanos;
    outbox.add(new SwimOutput.CallNode(callId, address, request));
  }

  private InetSocketAddress choosePeer() {
    if (joined) {
      NodeRecord other = fleet.sampler().sampleOne(node -> node.state().acceptsWork());
      if (other != null) {
        return other.address();
      }
    }
    List<InetSocketAddress> others = new ArrayList<>(contacts);
    others.removeIf(contact -> contact.equals(local.record().address()));
    return others.isEmpty() ? null : others.get(random.nextInt(others.size()));
  }

  /**
   * A node whose only contact address is its own is the first of its cluster and counts as joined.
   */
  private void markJoinedIfAlone() {
    if (!joined && !contacts.isEmpty()) {
      joined = true;
      outbox.add(new SwimOutput.Joined());
    }
  }

  private long randomRetryDelay() {
    long maxDelay = settings.maxJoinRetryDelay().toNanos();
    return maxDelay / 5 + random.nextLong(maxDelay - maxDelay / 5);
  }
}
