package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.IndirectProbe;
import io.foxtaildoor.protocol.Probe;
import io.foxtaildoor.protocol.ProbeAck;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.agrona.collections.Long2ObjectHashMap;

/** Failure detector: probes other nodes, directly and through helper nodes, and answers probes. */
final class Prober {
  /**
   * Requests to probe on behalf of other nodes are ignored while this many probes are pending,
   * which bounds the probes made for others at the same time.
   */
  private static final int MAX_PENDING_PROBES = 512;

  /** Sequence numbers start below this value, which keeps their encoding short. */
  private static final int SEQUENCE_START_BOUND = 1 << 16;

  /** Purpose of a probe. */
  private enum ProbeKind {
    /** Probe of a live node; a failure raises a suspicion. */
    LIVE,
    /** Probe that notifies a suspected node of the suspicion, so that it refutes at once. */
    SUSPECTED,
    /** Probe of a dead node. */
    DEAD,
    /** Probe of a contact address at which no live node is known. */
    CONTACT,
    /** Probe on behalf of another node. */
    RELAYED
  }

  /** A probe that awaits its answer. */
  private static final class PendingProbe {
    private final ProbeKind kind;
    private final InetSocketAddress address;
    private final NodeRecord target;
    private final long startedAt;
    private final Set<NodeId> helpers = new HashSet<>();
    private boolean probedIndirectly;
    private InetSocketAddress requester;
    private long requesterSequence;

    PendingProbe(ProbeKind kind, InetSocketAddress address, NodeRecord target, long startedAt) {
      this.kind = kind;
      this.address = address;
      this.target = target;
      this.startedAt = startedAt;
    }
  }

  private final MembershipSettings settings;
  private final NodeRecordCodec codec;
  private final LocalNode local;
  private final FleetState fleet;
  private final Outbox outbox;
  private final BiConsumer<InetSocketAddress, Long> onRediscovered;
  private final Long2ObjectHashMap<PendingProbe> pendingProbes = new Long2ObjectHashMap<>();
  private final RandomGenerator random;
  private List<InetSocketAddress> contacts = List.of();
  private boolean contactTurn;
  private long sequence;
  private long nextProbeAt;
  private long nextDeadProbeAt;

  /**
   * Creates a prober.
   *
   * @param onRediscovered called with the address of a dead or unknown node that answered, and the
   *     current time
   */
  Prober(
      MembershipSettings settings,
      NodeRecordCodec codec,
      LocalNode local,
      FleetState fleet,
      Outbox outbox,
      RandomGenerator random,
      BiConsumer<InetSocketAddress, Long> onRediscovered) {
    this.settings = settings;
    this.codec = codec;
    this.local = local;
    this.fleet = fleet;
    this.outbox = outbox;
    this.random = random;
    this.onRediscovered = onRediscovered;
    this.sequence = random.nextInt(SEQUENCE_START_BOUND);
  }

  void setContacts(List<InetSocketAddress> addresses) {
    contacts = List.copyOf(addresses);
  }

  /** Starts the periodic probes with a random phase, so that nodes do not probe in lockstep. */
  void start(long nowNanos) {
    pendingProbes.clear();
    nextProbeAt = nowNanos + random.nextLong(settings.probePeriod().toNanos());
    nextDeadProbeAt = nowNanos + random.nextLong(settings.deadProbePeriod().toNanos());
  }

  /** Sends the probes that are due and handles those that were not answered in time. */
  void tick(long nowNanos) {
    checkPendingProbes(nowNanos);
    if (nowNanos - nextProbeAt >= 0) {
      nextProbeAt += settings.probePeriod().toNanos();
      probeLive(fleet.sampler().nextInRound(), nowNanos);
    }
    probeNextVerification(nowNanos);
    if (nowNanos - nextDeadProbeAt >= 0) {
      nextDeadProbeAt += settings.deadProbePeriod().toNanos();
      probeDeadOrContact(nowNanos);
    }
  }

  /** Answers a probe. */
  void onProbe(InetSocketAddress from, NodeId sender, Probe probe, boolean refuted, long nowNanos) {
    List<NodeRecord> priorityRecords = new ArrayList<>();
    addIfPresent(priorityRecords, fleet.suspectedOrDead(sender));
    boolean addressedToSelf = probe.getTarget().equals(local.record().id().value());
    if (refuted || !addressedToSelf || fleet.liveRecord(sender) == null) {
      priorityRecords.add(local.record());
    }
    ProbeAck ack = ProbeAck.newBuilder().setSequence(probe.getSequence()).build();
    outbox.send(from, outbox.newDatagram().setAck(ack), priorityRecords, nowNanos);
  }

  /** Probes a node on behalf of the node that sent the request. */
  void onIndirectProbe(InetSocketAddress from, IndirectProbe request, long nowNanos) {
    NodeRecord target = codec.decode(request.getTarget(), nowNanos).orElse(null);
    if (target == null || pendingProbes.size() >= MAX_PENDING_PROBES) {
      return;
    }
    PendingProbe pending = new PendingProbe(ProbeKind.RELAYED, target.address(), target, nowNanos);
    pending.requester = from;
    pending.requesterSequence = request.getSequence();
    send(pending, null, nowNanos);
  }

  /** Handles the answer to a probe. */
  void onAck(InetSocketAddress from, NodeId sender, ProbeAck ack, long nowNanos) {
    PendingProbe pending = pendingProbes.remove(ack.getSequence());
    if (pending == null) {
      return;
    }
    if (pending.kind == ProbeKind.CONTACT) {
      onRediscovered.accept(from, nowNanos);
    } else if (sender.equals(pending.target.id())) {
      onTargetAnswered(pending, nowNanos);
    } else if (pending.helpers.contains(sender)) {
      fleet.onProbeAnswered(pending.target.id());
    } else if (from.equals(pending.address)) {
      fleet.markReplaced(pending.target.id(), nowNanos);
    }
  }

  private void onTargetAnswered(PendingProbe pending, long nowNanos) {
    fleet.onProbeAnswered(pending.target.id());
    if (pending.kind == ProbeKind.DEAD) {
      onRediscovered.accept(pending.address, nowNanos);
    }
    if (pending.kind == ProbeKind.RELAYED) {
      ProbeAck ack = ProbeAck.newBuilder().setSequence(pending.requesterSequence).build();
      outbox.send(pending.requester, outbox.newDatagram().setAck(ack), List.of(), nowNanos);
    }
  }

  /**
   * Probes the next node that is to be verified. At most one is probed in each tick, which bounds
   * the load after a failure of many nodes.
   */
  private void probeNextVerification(long nowNanos) {
    NodeRecord reported = fleet.pollVerification();
    if (reported == null) {
      return;
    }
    NodeRecord target = fleet.liveRecord(reported.id());
    ProbeKind kind = fleet.isSuspected(reported.id()) ? ProbeKind.SUSPECTED : ProbeKind.LIVE;
    send(new PendingProbe(kind, target.address(), target, nowNanos), reported, nowNanos);
  }

  private void probeLive(NodeRecord target, long nowNanos) {
    if (target != null) {
      send(new PendingProbe(ProbeKind.LIVE, target.address(), target, nowNanos), null, nowNanos);
    }
  }

  /**
   * Probes alternately a dead node and a contact address without a known live node, so that the
   * sides of a partition find each other again.
   */
  private void probeDeadOrContact(long nowNanos) {
    contactTurn = !contactTurn;
    NodeRecord dead = fleet.departedNodes().randomDead();
    InetSocketAddress contact = randomUnknownContact();
    if (contact != null && (contactTurn || dead == null)) {
      send(new PendingProbe(ProbeKind.CONTACT, contact, null, nowNanos), null, nowNanos);
    } else if (dead != null) {
      send(new PendingProbe(ProbeKind.DEAD, dead.address(), dead, nowNanos), null, nowNanos);
    }
  }

  private InetSocketAddress randomUnknownContact() {
    List<InetSocketAddress> candidates = new ArrayList<>();
    for (InetSocketAddress contact : contacts) {
      if (!contact.equals(local.record().address()) && fleet.addresses().liveAt(contact) == null) {
        candidates.add(contact);
      }
    }
    return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
  }

  private void send(PendingProbe pending, NodeRecord reported, long nowNanos) {
    sequence++;
    pendingProbes.put(sequence, pending);
    Probe.Builder probe = Probe.newBuilder().setSequence(sequence);
    List<NodeRecord> priorityRecords = new ArrayList<>();
    addIfPresent(priorityRecords, reported);
    if (pending.target == null) {
      priorityRecords.add(local.record());
    } else {
      probe.setTarget(pending.target.id().value());
      addIfPresent(priorityRecords, fleet.suspectedOrDead(pending.target.id()));
    }
    Datagram.Builder datagram = outbox.newDatagram().setProbe(probe);
    outbox.send(pending.address, datagram, priorityRecords, nowNanos);
  }

  private void checkPendingProbes(long nowNanos) {
    List<NodeId> unanswered = new ArrayList<>();
    Long2ObjectHashMap<PendingProbe>.EntryIterator entries = pendingProbes.entrySet().iterator();
    while (entries.hasNext()) {
      entries.next();
      PendingProbe pending = entries.getValue();
      long age = nowNanos - pending.startedAt;
      if (age >= settings.probePeriod().toNanos()) {
        if (pending.kind == ProbeKind.LIVE) {
          unanswered.add(pending.target.id());
        }
        entries.remove();
      } else if (age >= settings.indirectDelay().toNanos()) {
        probeIndirectly(entries.getLongKey(), pending, nowNanos);
      }
    }
    unanswered.forEach(id -> fleet.suspect(id, nowNanos));
  }

  private void probeIndirectly(long probeSequence, PendingProbe pending, long nowNanos) {
    if (pending.probedIndirectly || pending.kind != ProbeKind.LIVE) {
      return;
    }
    pending.probedIndirectly = true;
    NodeId target = pending.target.id();
    IndirectProbe request =
        IndirectProbe.newBuilder()
            .setSequence(probeSequence)
            .setTarget(codec.encode(pending.target, nowNanos))
            .build();
    List<NodeRecord> helpers =
        fleet.sampler().sample(settings.indirectProbes(), node -> !node.id().equals(target));
    for (NodeRecord helper : helpers) {
      pending.helpers.add(helper.id());
      Datagram.Builder datagram = outbox.newDatagram().setIndirect(request);
      outbox.send(helper.address(), datagram, List.of(), nowNanos);
    }
  }

  private static void addIfPresent(List<NodeRecord> records, NodeRecord record) {
    if (record != null) {
      records.add(record);
    }
  }
}
