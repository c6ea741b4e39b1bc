package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.agrona.collections.Object2ObjectHashMap;

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
  private final GossipQueue queue;
  private final Outbox outbox;
  private final MembershipCounters counters;
  private final PeerSampler sampler;
  private final DepartedNodes departedNodes;
  private final SuspicionTimers suspicions;
  private final Map<InetSocketAddress, NodeId> byAddress = new Object2ObjectHashMap<>();
  private final VerificationQueue verifications = new VerificationQueue();
  private final List<NodeRecord> urgent = new ArrayList<>();
  private int liveNodes = 1;

  FleetState(
      MembershipSettings settings,
      LocalNode local,
      NodeTable table,
      UpstreamIndex index,
      GossipQueue queue,
      Outbox outbox,
      MembershipCounters counters,
      RandomGenerator random) {
    this.local = local;
    this.table = table;
    this.index = index;
    this.queue = queue;
    this.outbox = outbox;
    this.counters = counters;
    this.sampler = new PeerSampler(this::liveRecord, random);
    this.departedNodes = new DepartedNodes(settings, table, random);
    this.suspicions = new SuspicionTimers(settings.suspicionTimeout().toNanos());
    table.add(local.record());
    index.update(null, local.record());
    queue.add(local.record());
  }

  PeerSampler sampler() {
    return sampler;
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
    boolean notified =
        record != null && (record.state() == NodeState.SUSPECT || record.state() == NodeState.DEAD);
    return notified ? record : null;
  }

  /** Returns the id of the live node at an address, or null. */
  NodeId liveAt(InetSocketAddress address) {
    return byAddress.get(address);
  }

  /**
   * Removes and returns up to {@code limit} records that were learned by gossip and must be pushed
   * immediately.
   */
  List<NodeRecord> takeUrgent(int limit) {
    List<NodeRecord> head = urgent.subList(0, Math.min(limit, urgent.size()));
    List<NodeRecord> taken = List.copyOf(head);
    head.clear();
    return taken;
  }

  boolean hasUrgent() {
    return !urgent.isEmpty();
  }

  /**
   * Removes and returns the reported record of the next node to be verified by a probe, or null.
   */
  NodeRecord pollVerification() {
    return verifications.poll(id -> liveRecord(id) != null);
  }

  /**
   * Puts the changed record of the local node into the node table, the upstream index and the
   * gossip queue, and reports the change.
   */
  void publishLocalRecord() {
    NodeRecord record = local.record();
    KnownNode member = table.find(record.id());
    NodeRecord former = member.record();
    table.replace(member, record);
    index.update(former, record);
    queue.add(record);
    outbox.add(new SwimOutput.RecordChanged(record));
  }

  /**
   * Merges a record that was received from another node; returns true if the local view changed.
   */
  boolean merge(NodeRecord record, Source source, long nowNanos) {
    if (record.id().equals(local.record().id())) {
      return mergeLocal(record);
    }
    boolean atOwnAddress = record.address().equals(local.record().address());
    if (atOwnAddress && NodeRecords.isLive(record)) {
      return rejectAtOwnAddress(record, nowNanos);
    }
    KnownNode member = table.find(record.id());
    if (member == null) {
      return mergeUnknown(record, source, nowNanos);
    }
    if (!NodeRecords.isNewer(record, member.record())) {
      return false;
    }
    boolean negative = record.state() == NodeState.SUSPECT || record.state() == NodeState.DEAD;
    if (negative && (NodeRecords.isLive(member.record()) || record.state() == NodeState.SUSPECT)) {
      return mergeSuspicion(member, record, source, nowNanos);
    }
    NodeRecord former = member.record();
    replace(member, record, nowNanos);
    if (source == Source.GOSSIP) {
      passOn(former, member.record());
    }
    return true;
  }

  /** Whether a suspicion period of the node is running. */
  boolean isSuspected(NodeId id) {
    KnownNode member = table.find(id);
    return member != null && member.isSuspected();
  }

  /** Starts the suspicion of a node that did not answer a probe of the local node. */
  void suspect(NodeId id, long nowNanos) {
    KnownNode member = table.find(id);
    if (member == null || !NodeRecords.isLive(member.record()) || member.isSuspected()) {
      return;
    }
    counters.increment(Counter.SUSPICIONS);
    startSuspicion(member, member.record(), nowNanos);
  }

  /**
   * Cancels the suspicion of a leaving node that answered a probe. Its published state is LEAVING
   * rather than SUSPECT, so the node has nothing to refute by itself.
   */
  void onProbeAnswered(NodeId id) {
    KnownNode member = table.find(id);
    if (member != null && member.record().state() == NodeState.LEAVING) {
      member.setSuspectDeadline(KnownNode.NOT_SUSPECTED);
    }
  }

  /** Marks a node dead because a node with another id uses its address, and stops probing it. */
  void markReplaced(NodeId id, long nowNanos) {
    KnownNode member = table.find(id);
    if (member == null) {
      return;
    }
    if (NodeRecords.isLive(member.record())) {
      markDead(member, nowNanos);
    }
    departedNodes.stopProbing(id);
  }

  /**
   * Marks the node known at the source address of a datagram as replaced if the sender has another
   * id and a higher incarnation.
   */
  void checkSenderAddress(InetSocketAddress from, NodeId sender, long incarnation, long nowNanos) {
    NodeId known = byAddress.get(from);
    if (known == null || known.equals(sender)) {
      return;
    }
    // A delayed datagram of the previous process has the lower incarnation and does not show that
    // the known node was replaced.
    NodeRecord record = table.record(known);
    if (record != null && record.incarnation() < incarnation) {
      markReplaced(known, nowNanos);
    }
  }

  /**
   * Marks nodes dead whose suspicion period has ended, and removes departed nodes whose retention
   * time has passed.
   */
  void expire(long nowNanos) {
    SuspicionTimers.Timer timer;
    while ((timer = suspicions.poll(nowNanos)) != null) {
      KnownNode member = table.find(timer.id());
      if (member != null
          && member.suspectDeadline() == timer.deadline()
          && NodeRecords.isLive(member.record())) {
        markDead(member, nowNanos);
      }
    }
    departedNodes.removeExpired(nowNanos, queue);
  }

  /** Extends the running suspicion periods by the time for which the local process was paused. */
  void extendSuspicions(long nanos) {
    for (SuspicionTimers.Timer timer : suspicions.extend(nanos)) {
      KnownNode member = table.find(timer.id());
      if (member != null && member.suspectDeadline() == timer.deadline() - nanos) {
        member.setSuspectDeadline(timer.deadline());
      }
    }
  }

  /** Queues a record for gossip. */
  void gossip(NodeRecord record) {
    queue.add(record);
  }

  private boolean mergeLocal(NodeRecord heard) {
    if (local.record().state() == NodeState.LEFT || !NodeRecords.isNewer(heard, local.record())) {
      return false;
    }
    counters.increment(Counter.REFUTATIONS);
    local.refute(heard.incarnation());
    publishLocalRecord();
    return true;
  }

  /**
   * Marks another node at the local address as dead: it is a previous process, whatever its
   * incarnation. The local node raises its own incarnation above that of the record, because nodes
   * at the same address are ordered by incarnation.
   */
  private boolean rejectAtOwnAddress(NodeRecord record, long nowNanos) {
    KnownNode member = table.find(record.id());
    if (member != null && !NodeRecords.isLive(member.record())) {
      return false;
    }
    if (record.incarnation() >= local.record().incarnation()) {
      local.refute(record.incarnation());
      publishLocalRecord();
    }
    NodeRecord dead = NodeRecords.withState(record, NodeState.DEAD);
    if (member == null) {
      addEnded(dead, nowNanos);
    } else {
      replace(member, dead, nowNanos);
    }
    queue.add(dead);
    departedNodes.stopProbing(record.id());
    return true;
  }

  private boolean mergeUnknown(NodeRecord record, Source source, long nowNanos) {
    if (!NodeRecords.isLive(record)) {
      // Departed nodes are remembered for a limited time. Accepting them from the tables of other
      // nodes would keep them circulating forever.
      if (source == Source.GOSSIP) {
        addEnded(record, nowNanos);
      }
      return false;
    }
    boolean suspected = record.state() == NodeState.SUSPECT;
    NodeRecord added = suspected ? NodeRecords.withState(record, NodeState.ALIVE) : record;
    KnownNode member = table.add(added);
    started(member, null, nowNanos);
    if (suspected && NodeRecords.isLive(member.record())) {
      return mergeSuspicion(member, record, source, nowNanos) || source == Source.EXCHANGE;
    }
    if (source == Source.GOSSIP) {
      passOn(added, member.record());
    }
    return true;
  }

  private boolean mergeSuspicion(
      KnownNode member, NodeRecord record, Source source, long nowNanos) {
    if (source == Source.GOSSIP) {
      boolean changes = !member.isSuspected() || isLaterIncarnation(record, member);
      if (changes) {
        startSuspicion(member, record, nowNanos);
      }
      return changes;
    }
    boolean later = isLaterIncarnation(record, member);
    if (later) {
      replace(member, NodeRecords.withState(record, NodeState.ALIVE), nowNanos);
    }
    verifications.add(record);
    return later;
  }

  private static boolean isLaterIncarnation(NodeRecord record, KnownNode member) {
    return record.incarnation() > member.record().incarnation();
  }

  private void startSuspicion(KnownNode member, NodeRecord heard, long nowNanos) {
    boolean leaving = member.record().state() == NodeState.LEAVING;
    NodeState state = leaving ? NodeState.LEAVING : NodeState.SUSPECT;
    NodeRecord suspect = NodeRecords.withState(heard, state);
    if (NodeRecords.isNewer(suspect, member.record())) {
      replace(member, suspect, nowNanos);
      queue.add(suspect);
    }
    member.setSuspectDeadline(suspicions.start(member.record().id(), nowNanos));
    // If the suspicion and its refutation spread by gossip alone, that may take longer than the
    // suspicion period, so the suspect is also probed.
    verifications.add(suspect);
  }

  private void markDead(KnownNode member, long nowNanos) {
    NodeRecord dead = NodeRecords.withState(member.record(), NodeState.DEAD);
    replace(member, dead, nowNanos);
    queue.add(dead);
  }

  /**
   * Queues a record for gossip, and also for an immediate push if requests routed by the previous
   * record would be refused.
   */
  private void passOn(NodeRecord former, NodeRecord record) {
    queue.add(record);
    boolean withdrawn = former.upstream().isPresent() && record.upstream().isEmpty();
    if (record.state() == NodeState.LEAVING || withdrawn) {
      urgent.add(record);
    }
  }

  private void addEnded(NodeRecord record, long nowNanos) {
    KnownNode member = table.add(record);
    departedNodes.add(member, nowNanos);
    outbox.add(new SwimOutput.RecordChanged(record));
  }

  private void replace(KnownNode member, NodeRecord record, long nowNanos) {
    NodeRecord former = member.record();
    table.replace(member, record);
    if (record.state() != NodeState.SUSPECT) {
      member.setSuspectDeadline(KnownNode.NOT_SUSPECTED);
    }
    if (NodeRecords.isLive(record)) {
      started(member, former, nowNanos);
      return;
    }
    index.update(former, record);
    outbox.add(new SwimOutput.RecordChanged(record));
    byAddress.remove(former.address(), record.id());
    departedNodes.add(member, nowNanos);
    if (NodeRecords.isLive(former)) {
      outbox.setFleetSize(--liveNodes);
    }
  }

  /**
   * Adds or updates a live record in the indexes and reports it; the previous record is null for a
   * new node.
   */
  private void started(KnownNode member, NodeRecord former, long nowNanos) {
    NodeRecord record = member.record();
    index.update(former, record);
    outbox.add(new SwimOutput.RecordChanged(record));
    if (former == null || !NodeRecords.isLive(former)) {
      sampler.add(record.id());
      outbox.setFleetSize(++liveNodes);
    }
    NodeId other = byAddress.get(record.address());
    if (other == null) {
      byAddress.put(record.address(), record.id());
    } else if (!other.equals(record.id())) {
      resolveAddress(member, table.find(other), nowNanos);
    }
  }

  /**
   * Resolves a conflict between two nodes at the same address: the one with the lower incarnation
   * was replaced. At equal incarnations both are verified by probes.
   */
  private void resolveAddress(KnownNode added, KnownNode present, long nowNanos) {
    long difference = added.record().incarnation() - present.record().incarnation();
    if (difference > 0) {
      byAddress.put(added.record().address(), added.record().id());
      markReplaced(present.record().id(), nowNanos);
    } else if (difference < 0) {
      markReplaced(added.record().id(), nowNanos);
    } else {
      verifications.add(added.record());
      verifications.add(present.record());
    }
  }
}
