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
 * Opens state exchanges: at the join through a contact address, then periodically with a random
 * node. One exchange runs at a time.
 */
final class StateExchangeScheduler {
  /**
   * Buckets of one frame. At 12,000 nodes 16 buckets hold about 750 records, 70 KB; at the largest
   * record size they stay within a quarter of the frame limit.
   */
  private static final int BUCKETS_PER_FRAME = 16;

  /** Time after which a call without a result counts as failed. */
  private static final long CALL_LIMIT_NANOS = Duration.ofSeconds(15).toNanos();

  /** Records learned in one exchange that are still passed on by gossip. */
  private static final int MAX_GOSSIPED = 16;

  /**
   * An exchange that changed more records is followed by another one soon: after a mass restart the
   * contacts themselves still learn, and after a partition the nodes still refute their death. At
   * rest an exchange changes less than one record, those that gossip has not delivered yet.
   */
  private static final int FEW_CHANGES = 4;

  /** Mean wait before an exchange that follows one with many changes; doubles up to the period. */
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

  /** Starts with a join after a short random wait, so that a mass restart is spread. */
  void start(long nowNanos) {
    nextAt = nowNanos + random.nextLong(settings.probePeriod().toNanos());
  }

  /** Opens an exchange when one is due, and gives up one whose call has no result. */
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
   * Asks for an exchange with a node that was found again. The same address counts once in half an
   * exchange period, because a contact address may be an alias that no record names.
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

  /** Takes the reply to a call; null stands for a failed call. */
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
    // Few changes are updates that gossip missed; many are a join or a healed partition, which
    // exchanges carry at lower cost.
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
    // A reply without any bucket would be repeated for ever.
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
   * While joining, only the first records come from the contact address and the others from nodes
   * that these name, so that contact addresses are not overloaded after a mass restart.
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

  /** A node without another contact address is the first of its cluster. */
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
