package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Merges records into the local node's view of the fleet. A record replaces another only if it has
 * a higher incarnation or, at the same incarnation, a later state.
 *
 * <p>A reported suspicion or death never marks a live node dead at once. When reported by gossip it
 * starts the local suspicion period; when reported by a state exchange it makes the local node
 * probe the suspect. After a partition heals, each side considers the whole other side dead, and
 * accepting those reports would remove live nodes faster than they can refute them.
 */
final class FleetState {
  /** How a record was received. */
  enum Source {
    /** An update in a datagram; such updates are recent. */
    GOSSIP,
    /** A state exchange, which may carry old records. */
    EXCHANGE
  }

  private final LocalNode local;
  private final NodeTable table;
  private final UpstreamIndex index;
  private final GossipQueue gossipQueue;
  private final Outbox outbox;
  private final MembershipCounters counters;
  private final PeerSampler sampler;
  private final DepartedNodes departedNodes;
  private final SuspicionTimers suspicionTimers;
  private final VerificationQueue verificationQueue = new VerificationQueue();
  private final NodeAddresses addresses;
  private final List<NodeRecord> urgentRecords = new ArrayList<>();
  private int liveNodeCount = 1;

  FleetState(
      MembershipSettings settings,
      LocalNode local,
      NodeTable table,
      UpstreamIndex index,
      GossipQueue gossipQueue,
      Outbox outbox,
      MembershipCounters counters,
      RandomGenerator random) {
    this.local = local;
    this.table = table;
    this.index = index;
    this.gossipQueue = gossipQueue;
    this.outbox = outbox;
    this.counters = counters;
    this.sampler = new PeerSampler(this::liveRecord, random);
    this.departedNodes = new DepartedNodes(settings, table, random);
    this.addresses = new NodeAddresses(table, verificationQueue, this::markReplaced);
    this.suspicionTimers = new SuspicionTimers(settings.suspicionTimeout().toNanos());
    table.add(local.record());
    index.update(null, local.record());
    gossipQueue.add(local.record());
  }

  PeerSampler sampler() {
    return sampler;
  }

  NodeAddresses addresses() {
    return addresses;
  }

  DepartedNodes departedNodes() {
    return departedNodes;
  }

  /** Returns the record of a live node, or null. */
  NodeRecord liveRecord(NodeId id) {
    NodeRecord record = table.record(id);
    return record != null && NodeRecords.isLive(record) ? record : null;
  }

  /**
   * Returns the record of a node that is suspected or dead and must be notified of it so that it
   * can refute, or null.
   */
  NodeRecord suspectedOrDead(NodeId id) {
    NodeRecord record = table.record(id);
    boolean suspectedOrDead =
        record != null && (record.state() == NodeState.SUSPECT || record.state() == NodeState.DEAD);
    return suspectedOrDead ? record : null;
  }

  /**
   * Removes and returns up to {@code limit} records that were learned by gossip and must be pushed
   * immediately.
   */
  List<NodeRecord> takeUrgent(int limit) {
    List<NodeRecord> head = urgentRecords.subList(0, Math.min(limit, urgentRecords.size()));
    List<NodeRecord> taken = List.copyOf(head);
    head.clear();
    return taken;
  }

  boolean hasUrgent() {
    return !urgentRecords.isEmpty();
  }

  /**
   * Removes and returns the reported record of the next node to be verified by a probe, or null.
   */
  NodeRecord pollVerification() {
    return verificationQueue.poll(id -> liveRecord(id) != null);
  }

  /**
   * Puts the changed record of the local node into the node table, the upstream index and the
   * gossip queue, and reports the change.
   */
  void publishLocalRecord() {
    NodeRecord record = local.record();
    KnownNode node = table.find(record.id());
    NodeRecord previous = node.record();
    table.replace(node, record);
    index.update(previous, record);
    gossipQueue.add(record);
    outbox.add(new SwimOutput.RecordChanged(record));
  }

  /**
   * Merges a record that was received from another node; returns true if the local view changed.
   */
  boolean merge(NodeRecord record, Source source, long nowNanos) {
    if (record.id().equals(local.record().id())) {
      return mergeLocal(record);
    }
    boolean atLocalAddress = record.address().equals(local.record().address());
    if (atLocalAddress && NodeRecords.isLive(record)) {
      return rejectRecordAtLocalAddress(record, nowNanos);
    }
    KnownNode node = table.find(record.id());
    if (node == null) {
      return mergeUnknownNode(record, source, nowNanos);
    }
    if (!NodeRecords.isNewer(record, node.record())) {
      return false;
    }
    boolean suspectedOrDead =
        record.state() == NodeState.SUSPECT || record.state() == NodeState.DEAD;
    if (suspectedOrDead
        && (NodeRecords.isLive(node.record()) || record.state() == NodeState.SUSPECT)) {
      return mergeSuspicionOrDeath(node, record, source, nowNanos);
    }
    NodeRecord previous = node.record();
    replace(node, record, nowNanos);
    if (source == Source.GOSSIP) {
      propagate(previous, node.record());
    }
    return true;
  }

  /** Whether a suspicion period of the node is running. */
  boolean isSuspected(NodeId id) {
    KnownNode node = table.find(id);
    return node != null && node.isSuspected();
  }

  /** Starts the suspicion of a node that did not answer a probe of the local node. */
  void suspect(NodeId id, long nowNanos) {
    KnownNode node = table.find(id);
    if (node == null || !NodeRecords.isLive(node.record()) || node.isSuspected()) {
      return;
    }
    counters.increment(Counter.SUSPICIONS);
    startSuspicion(node, node.record(), nowNanos);
  }

  /**
   * Cancels the suspicion of a leaving node that answered a probe. Its published state is LEAVING
   * rather than SUSPECT, so the node has nothing to refute by itself.
   */
  void onProbeAnswered(NodeId id) {
    KnownNode node = table.find(id);
    if (node != null && node.record().state() == NodeState.LEAVING) {
      node.setSuspectDeadline(KnownNode.NOT_SUSPECTED);
    }
  }

  /** Marks a node dead because a node with another id uses its address, and stops probing it. */
  void markReplaced(NodeId id, long nowNanos) {
    KnownNode node = table.find(id);
    if (node == null) {
      return;
    }
    if (NodeRecords.isLive(node.record())) {
      markDead(node, nowNanos);
    }
    departedNodes.stopProbing(id);
  }

  /**
   * Marks nodes dead whose suspicion period has ended, and removes departed nodes whose retention
   * time has passed.
   */
  void expire(long nowNanos) {
    SuspicionTimers.Timer timer;
    while ((timer = suspicionTimers.poll(nowNanos)) != null) {
      KnownNode node = table.find(timer.id());
      if (node != null
          && node.suspectDeadline() == timer.deadline()
          && NodeRecords.isLive(node.record())) {
        markDead(node, nowNanos);
      }
    }
    departedNodes.removeExpired(nowNanos, gossipQueue);
  }

  /** Extends the running suspicion periods by the time for which the local process was paused. */
  void extendSuspicions(long nanos) {
    for (SuspicionTimers.Timer timer : suspicionTimers.extend(nanos)) {
      KnownNode node = table.find(timer.id());
      if (node != null && node.suspectDeadline() == timer.deadline() - nanos) {
        node.setSuspectDeadline(timer.deadline());
      }
    }
  }

  /** Queues a record for gossip. */
  void gossip(NodeRecord record) {
    gossipQueue.add(record);
  }

  private boolean mergeLocal(NodeRecord received) {
    if (local.record().state() == NodeState.LEFT
        || !NodeRecords.isNewer(received, local.record())) {
      return false;
    }
    counters.increment(Counter.REFUTATIONS);
    local.refute(received.incarnation());
    publishLocalRecord();
    return true;
  }

  /**
   * Marks another node at the local address as dead: it is a previous process, whatever its
   * incarnation. The local node raises its incarnation above that of the record, because nodes at
   * the same address are ordered by incarnation.
   */
  private boolean rejectRecordAtLocalAddress(NodeRecord record, long nowNanos) {
    KnownNode node = table.find(record.id());
    if (node != null && !NodeRecords.isLive(node.record())) {
      return false;
    }
    if (record.incarnation() >= local.record().incarnation()) {
      local.refute(record.incarnation());
      publishLocalRecord();
    }
    NodeRecord dead = NodeRecords.withState(record, NodeState.DEAD);
    if (node == null) {
      addDepartedNode(dead, nowNanos);
    } else {
      replace(node, dead, nowNanos);
    }
    gossipQueue.add(dead);
    departedNodes.stopProbing(record.id());
    return true;
  }

  private boolean mergeUnknownNode(NodeRecord record, Source source, long nowNanos) {
    if (!NodeRecords.isLive(record)) {
      // Departed nodes are remembered for a limited time. Accepting them from the tables of other
      // nodes would keep them circulating forever.
      if (source == Source.GOSSIP) {
        addDepartedNode(record, nowNanos);
      }
      return false;
    }
    boolean suspected = record.state() == NodeState.SUSPECT;
    NodeRecord added = suspected ? NodeRecords.withState(record, NodeState.ALIVE) : record;
    KnownNode node = table.add(added);
    indexLiveNode(node, null, nowNanos);
    if (suspected && NodeRecords.isLive(node.record())) {
      return mergeSuspicionOrDeath(node, record, source, nowNanos) || source == Source.EXCHANGE;
    }
    if (source == Source.GOSSIP) {
      propagate(added, node.record());
    }
    return true;
  }

  private boolean mergeSuspicionOrDeath(
      KnownNode node, NodeRecord record, Source source, long nowNanos) {
    if (source == Source.GOSSIP) {
      boolean changed = !node.isSuspected() || isLaterIncarnation(record, node);
      if (changed) {
        startSuspicion(node, record, nowNanos);
      }
      return changed;
    }
    boolean laterIncarnation = isLaterIncarnation(record, node);
    if (laterIncarnation) {
      replace(node, NodeRecords.withState(record, NodeState.ALIVE), nowNanos);
    }
    verificationQueue.add(record);
    return laterIncarnation;
  }

  private static boolean isLaterIncarnation(NodeRecord record, KnownNode node) {
    return record.incarnation() > node.record().incarnation();
  }

  private void startSuspicion(KnownNode node, NodeRecord received, long nowNanos) {
    boolean leaving = node.record().state() == NodeState.LEAVING;
    NodeState state = leaving ? NodeState.LEAVING : NodeState.SUSPECT;
    NodeRecord suspect = NodeRecords.withState(received, state);
    if (NodeRecords.isNewer(suspect, node.record())) {
      replace(node, suspect, nowNanos);
      gossipQueue.add(suspect);
    }
    node.setSuspectDeadline(suspicionTimers.start(node.record().id(), nowNanos));
    // If the suspicion and its refutation spread by gossip alone, that may take longer than the
    // suspicion period, so the suspect is also probed.
    verificationQueue.add(suspect);
  }

  private void markDead(KnownNode node, long nowNanos) {
    NodeRecord dead = NodeRecords.withState(node.record(), NodeState.DEAD);
    replace(node, dead, nowNanos);
    gossipQueue.add(dead);
  }

  /**
   * Queues a record for gossip, and also for an immediate push if requests routed by the previous
   * record would be refused.
   */
  private void propagate(NodeRecord previous, NodeRecord record) {
    gossipQueue.add(record);
    boolean withdrawn = previous.upstream().isPresent() && record.upstream().isEmpty();
    if (record.state() == NodeState.LEAVING || withdrawn) {
      urgentRecords.add(record);
    }
  }

  private void addDepartedNode(NodeRecord record, long nowNanos) {
    KnownNode node = table.add(record);
    departedNodes.add(node, nowNanos);
    outbox.add(new SwimOutput.RecordChanged(record));
  }

  private void replace(KnownNode node, NodeRecord record, long nowNanos) {
    NodeRecord previous = node.record();
    table.replace(node, record);
    if (record.state() != NodeState.SUSPECT) {
      node.setSuspectDeadline(KnownNode.NOT_SUSPECTED);
    }
    if (NodeRecords.isLive(record)) {
      indexLiveNode(node, previous, nowNanos);
      return;
    }
    index.update(previous, record);
    outbox.add(new SwimOutput.RecordChanged(record));
    addresses.remove(previous);
    departedNodes.add(node, nowNanos);
    if (NodeRecords.isLive(previous)) {
      outbox.setFleetSize(--liveNodeCount);
    }
  }

  /**
   * Adds or updates a live record in the indexes and reports it; the previous record is null for a
   * new node.
   */
  private void indexLiveNode(KnownNode node, NodeRecord previous, long nowNanos) {
    NodeRecord record = node.record();
    index.update(previous, record);
    outbox.add(new SwimOutput.RecordChanged(record));
    if (previous == null || !NodeRecords.isLive(previous)) {
      sampler.add(record.id());
      outbox.setFleetSize(++liveNodeCount);
    }
    addresses.add(node, nowNanos);
  }
}
