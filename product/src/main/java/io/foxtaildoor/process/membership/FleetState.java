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
 * Merges records into what the local node knows of the fleet. A record replaces another only when
 * it is newer in incarnation or, at the same incarnation, in state.
 *
 * <p>A suspicion or death that was heard of never ends a live node at once: by gossip it starts the
 * local suspicion period, and by state exchange it makes the local node probe the other one. After
 * a healed partition each side holds the whole other side for dead, and taking that over would
 * remove live nodes faster than they can refute.
 */
final class FleetState {
  /** Where a record comes from. */
  enum Source {
    /** An update in a datagram, which is recent by nature. */
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

  /** Returns the record of a node that should be told that it is suspected or dead, or null. */
  NodeRecord suspectedOrDead(NodeId id) {
    NodeRecord record = table.record(id);
    boolean notified =
        record != null && (record.state() == NodeState.SUSPECT || record.state() == NodeState.DEAD);
    return notified ? record : null;
  }

  /** Returns the live node at an address, or null. */
  NodeId liveAt(InetSocketAddress address) {
    return byAddress.get(address);
  }

  /** Removes and returns records first heard of by gossip that are to be pushed at once. */
  List<NodeRecord> takeUrgent(int limit) {
    List<NodeRecord> head = urgent.subList(0, Math.min(limit, urgent.size()));
    List<NodeRecord> taken = List.copyOf(head);
    head.clear();
    return taken;
  }

  boolean hasUrgent() {
    return !urgent.isEmpty();
  }

  /** Removes and returns a node to be probed with what was said of it, or null. */
  NodeRecord pollVerification() {
    return verifications.poll(id -> liveRecord(id) != null);
  }

  /** Takes over a change that the local node made to its own record. */
  void publishLocalRecord() {
    NodeRecord record = local.record();
    KnownNode member = table.find(record.id());
    NodeRecord former = member.record();
    table.replace(member, record);
    index.update(former, record);
    queue.add(record);
    outbox.add(new SwimOutput.RecordChanged(record));
  }

  /** Merges a record; true when it changed what is known. */
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

  /** Raises a suspicion after a failed probe of the local node. */
  void suspect(NodeId id, long nowNanos) {
    KnownNode member = table.find(id);
    if (member == null || !NodeRecords.isLive(member.record()) || member.isSuspected()) {
      return;
    }
    counters.increment(Counter.SUSPICIONS);
    startSuspicion(member, member.record(), nowNanos);
  }

  /** Ends the suspicion of a leaving node that answered; its state leaves nothing to refute. */
  void onProbeAnswered(NodeId id) {
    KnownNode member = table.find(id);
    if (member != null && member.record().state() == NodeState.LEAVING) {
      member.setSuspectDeadline(KnownNode.NOT_SUSPECTED);
    }
  }

  /** Marks a node dead because another id answered at its address. */
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

  /** Compares the sender of a datagram with the node known at its address. */
  void checkSenderAddress(InetSocketAddress from, NodeId sender, long incarnation, long nowNanos) {
    NodeId known = byAddress.get(from);
    if (known == null || known.equals(sender)) {
      return;
    }
    // A late datagram of the former process carries the lower incarnation and proves nothing.
    NodeRecord record = table.record(known);
    if (record != null && record.incarnation() < incarnation) {
      markReplaced(known, nowNanos);
    }
  }

  /** Ends overdue suspicions and forgets nodes that ended long ago. */
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

  /** Extends the running suspicions by a time during which the process did not run. */
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

  /** Another id at the own address belongs to a former process, whatever its incarnation. */
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
      // Nodes that ended are remembered for a limited time. Taking them over from the memory of
      // others would pass them on for ever.
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

  private boolean mergeSuspicion(KnownNode member, NodeRecord record, Source source, long nowNanos) {
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
    // The refutation of a suspicion that travels by gossip alone may need longer than the period.
    verifications.add(suspect);
  }

  private void markDead(KnownNode member, long nowNanos) {
    NodeRecord dead = NodeRecords.withState(member.record(), NodeState.DEAD);
    replace(member, dead, nowNanos);
    queue.add(dead);
  }

  /** Gossips a record, and pushes it at once when work sent by the former one would be refused. */
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

  /** Takes a live record into the indexes; the former one is null for a new node. */
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

  /** Of two processes at one address, the one with the lower incarnation is the former. */
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
