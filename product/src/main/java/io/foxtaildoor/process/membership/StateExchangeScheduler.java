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
  private static final long CALL_LIMIT_NANOS = Duration.ofSeconds(15).toNanos();

  /** Largest number of records changed by one exchange that are still passed on by gossip. */
  private static final int MAX_GOSSIPED = 16;

  /**
   * An exchange that changed more records than this is soon followed by another one: after a mass
   * restart the contacts themselves are still learning about nodes, and after a partition nodes are
   * still refuting reports of their death. In the steady state an exchange changes less than one
   * record on average: only updates that gossip has not delivered yet.
   */
  private static final int FEW_CHANGES = 4;

  /**
   * Initial mean wait before an exchange that follows one with many changes; doubles with each such
   * exchange, up to the exchange period.
   */
  private static final long FIRST_FOLLOW_UP_NANOS = Duration.ofSeconds(10).toNanos();

  private final MembershipSettings settings;
  private final NodeRecordCodec codec;
  private final LocalNode local;
  private final FleetState fleet;
  private final StateExchanges exchanges;
  private final Outbox outbox;
  private final MembershipCounters counters;
  private final RandomGenerator random;
  private final Deque<Integer> pending = new ArrayDeque<>();
  private List<InetSocketAddress> contacts = List.of();
  private InetSocketAddress peer;
  private InetSocketAddress requestedPeer;
  private InetSocketAddress lastRequested;
  private long lastRequestAt;
  private List<Integer> requested = List.of();
  private List<NodeRecord> changed = new ArrayList<>();
  private int changes;
  private boolean running;
  private boolean joined;
  private long callId;
  private long callStartedAt;
  private long followUpNanos = FIRST_FOLLOW_UP_NANOS;
  private long nextAt;

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
    nextAt = nowNanos + random.nextLong(settings.probePeriod().toNanos());
  }

  /** Starts an exchange when one is due, and fails the running one when its call has timed out. */
  void tick(long nowNanos) {
    if (running && nowNanos - callStartedAt >= CALL_LIMIT_NANOS) {
      fail(nowNanos);
    }
    if (running || nowNanos - nextAt < 0) {
      return;
    }
    peer = requestedPeer == null ? choosePeer() : requestedPeer;
    requestedPeer = null;
    if (peer == null) {
      markJoinedWhenAlone();
      nextAt = nowNanos + retryDelay();
      return;
    }
    running = true;
    changes = 0;
    pending.clear();
    call(peer, exchanges.digestFrame(), nowNanos);
  }

  /**
   * Requests an exchange with a rediscovered node. Repeated requests for the same address within
   * half an exchange period are ignored, because a contact address may be an alias that appears in
   * no record.
   */
  void request(InetSocketAddress address, long nowNanos) {
    long sinceLast = nowNanos - lastRequestAt;
    if (address.equals(lastRequested) && sinceLast < settings.exchangePeriod().toNanos() / 2) {
      return;
    }
    lastRequested = address;
    lastRequestAt = nowNanos;
    requestedPeer = address;
    if (!running) {
      nextAt = nowNanos;
    }
  }

  /** Handles the reply to a call; a null reply means that the call failed. */
  void onReply(long id, Frame reply, long nowNanos) {
    if (!running || id != callId) {
      return;
    }
    if (reply == null) {
      fail(nowNanos);
      return;
    }
    switch (reply.getBodyCase()) {
      case STATE_DIGEST -> onDigest(reply.getStateDigest(), nowNanos);
      case STATE_EXCHANGE -> onRecords(reply.getStateExchange(), nowNanos);
      default -> fail(nowNanos);
    }
  }

  /** Merges the records that another node sent in an exchange. */
  void merge(StateExchange exchange, long nowNanos) {
    changed = new ArrayList<>();
    for (NodeRecordMessage message : exchange.getRecordsList()) {
      codec
          .decode(message, nowNanos)
          .ifPresentOrElse(
              record -> mergeOne(record, nowNanos),
              () -> counters.increment(Counter.DROPPED_RECORDS));
    }
    // A few changes are updates that gossip has missed and are passed on. Many changes mean a join
    // or a healed partition; exchanges spread those at a lower cost than gossip.
    if (changed.size() <= MAX_GOSSIPED) {
      changed.forEach(this::gossipPresent);
    }
    changes += changed.size();
  }

  private void gossipPresent(NodeRecord record) {
    NodeRecord present = fleet.liveRecord(record.id());
    if (present != null) {
      fleet.gossip(present);
    }
  }

  private void mergeOne(NodeRecord record, long nowNanos) {
    if (fleet.merge(record, FleetState.Source.EXCHANGE, nowNanos)) {
      changed.add(record);
    }
  }

  private void onDigest(StateDigest digest, long nowNanos) {
    pending.addAll(exchanges.differingBuckets(digest));
    next(nowNanos);
  }

  private void onRecords(StateExchange exchange, long nowNanos) {
    merge(exchange, nowNanos);
    List<Integer> left = new ArrayList<>(requested);
    left.removeAll(exchange.getBucketsList());
    // Buckets that the reply leaves out are requested again, unless it contains none of the
    // requested buckets: that request would be repeated forever.
    if (left.size() < requested.size()) {
      pending.addAll(left);
    }
    next(nowNanos);
  }

  private void next(long nowNanos) {
    if (pending.isEmpty()) {
      finish(nowNanos);
      return;
    }
    requested = new ArrayList<>();
    while (!pending.isEmpty() && requested.size() < BUCKETS_PER_FRAME) {
      requested.add(pending.removeFirst());
    }
    call(nextPeer(), exchanges.recordsFrame(requested, nowNanos), nowNanos);
  }

  /**
   * While the node joins, only the first records are requested from the contact address; the others
   * come from nodes named in those records, so that the contacts are not overloaded after a mass
   * restart.
   */
  private InetSocketAddress nextPeer() {
    if (joined || changes == 0) {
      return peer;
    }
    NodeRecord other = fleet.sampler().sampleOne(node -> node.state() == NodeState.ALIVE);
    return other == null ? peer : other.address();
  }

  private void finish(long nowNanos) {
    running = false;
    long period = settings.exchangePeriod().toNanos();
    long wait = changes > FEW_CHANGES ? Math.min(followUpNanos, period) : period;
    followUpNanos = changes > FEW_CHANGES ? 2 * wait : FIRST_FOLLOW_UP_NANOS;
    nextAt = nowNanos + wait / 2 + random.nextLong(wait);
    if (requestedPeer != null) {
      nextAt = nowNanos;
    }
    if (!joined) {
      joined = true;
      outbox.add(new SwimOutput.Joined());
    }
  }

  private void fail(long nowNanos) {
    running = false;
    counters.increment(Counter.FAILED_EXCHANGES);
    nextAt = nowNanos + retryDelay();
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
  private void markJoinedWhenAlone() {
    if (!joined && !contacts.isEmpty()) {
      joined = true;
      outbox.add(new SwimOutput.Joined());
    }
  }

  private long retryDelay() {
    long longest = settings.maxJoinRetryDelay().toNanos();
    return longest / 5 + random.nextLong(longest - longest / 5);
  }
}
