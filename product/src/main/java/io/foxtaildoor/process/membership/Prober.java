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
  private static final int MAX_ATTEMPTS = 512;

  /** Sequence numbers start below this value, which keeps their encoding short. */
  private static final int SEQUENCE_START_BOUND = 1 << 16;

  /** Purpose of a probe. */
  private enum Kind {
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
  private static final class Attempt {
    private final Kind kind;
    private final InetSocketAddress address;
    private final NodeRecord target;
    private final long startedAt;
    private final Set<NodeId> helpers = new HashSet<>();
    private boolean indirect;
    private InetSocketAddress relayTo;
    private long relaySequence;

    Attempt(Kind kind, InetSocketAddress address, NodeRecord target, long startedAt) {
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
  private final BiConsumer<InetSocketAddress, Long> rediscovered;
  private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();
  private final RandomGenerator random;
  private List<InetSocketAddress> contacts = List.of();
  private boolean contactNext;
  private long sequence;
  private long nextProbeAt;
  private long nextDeadProbeAt;

  /**
   * Creates a prober.
   *
   * @param rediscovered called with the address of a dead or unknown node that answered, and the
   *     current time
   */
  Prober(
      MembershipSettings settings,
      NodeRecordCodec codec,
      LocalNode local,
      FleetState fleet,
      Outbox outbox,
      RandomGenerator random,
      BiConsumer<InetSocketAddress, Long> rediscovered) {
    this.settings = settings;
    this.codec = codec;
    this.local = local;
    this.fleet = fleet;
    this.outbox = outbox;
    this.random = random;
    this.rediscovered = rediscovered;
    this.sequence = random.nextInt(SEQUENCE_START_BOUND);
  }

  void setContacts(List<InetSocketAddress> addresses) {
    contacts = List.copyOf(addresses);
  }

  /** Starts the periodic probes with a random phase, so that nodes do not probe in lockstep. */
  void start(long nowNanos) {
    attempts.clear();
    nextProbeAt = nowNanos + random.nextLong(settings.probePeriod().toNanos());
    nextDeadProbeAt = nowNanos + random.nextLong(settings.deadProbePeriod().toNanos());
  }

  /** Sends the probes that are due and handles those that were not answered in time. */
  void tick(long nowNanos) {
    checkAttempts(nowNanos);
    if (nowNanos - nextProbeAt >= 0) {
      nextProbeAt += settings.probePeriod().toNanos();
      probeLive(fleet.sampler().nextInRound(), nowNanos);
    }
    verify(nowNanos);
    if (nowNanos - nextDeadProbeAt >= 0) {
      nextDeadProbeAt += settings.deadProbePeriod().toNanos();
      probeLost(nowNanos);
    }
  }

  /** Answers a probe. */
  void onProbe(InetSocketAddress from, NodeId sender, Probe probe, boolean refuted, long nowNanos) {
    List<NodeRecord> first = new ArrayList<>();
    addIfPresent(first, fleet.suspectedOrDead(sender));
    boolean meant = probe.getTarget().equals(local.record().id().value());
    if (refuted || !meant || fleet.liveRecord(sender) == null) {
      first.add(local.record());
    }
    ProbeAck ack = ProbeAck.newBuilder().setSequence(probe.getSequence()).build();
    outbox.send(from, outbox.newDatagram().setAck(ack), first, nowNanos);
  }

  /** Probes a node on behalf of the node that sent the request. */
  void onIndirect(InetSocketAddress from, IndirectProbe request, long nowNanos) {
    NodeRecord target = codec.decode(request.getTarget(), nowNanos).orElse(null);
    if (target == null || attempts.size() >= MAX_ATTEMPTS) {
      return;
    }
    Attempt attempt = new Attempt(Kind.RELAYED, target.address(), target, nowNanos);
    attempt.relayTo = from;
    attempt.relaySequence = request.getSequence();
    send(attempt, null, nowNanos);
  }

  /** Handles the answer to a probe. */
  void onAck(InetSocketAddress from, NodeId sender, ProbeAck ack, long nowNanos) {
    Attempt attempt = attempts.remove(ack.getSequence());
    if (attempt == null) {
      return;
    }
    if (attempt.kind == Kind.CONTACT) {
      rediscovered.accept(from, nowNanos);
    } else if (sender.equals(attempt.target.id())) {
      onTargetAnswered(attempt, nowNanos);
    } else if (attempt.helpers.contains(sender)) {
      fleet.onProbeAnswered(attempt.target.id());
    } else if (from.equals(attempt.address)) {
      fleet.markReplaced(attempt.target.id(), nowNanos);
    }
  }

  private void onTargetAnswered(Attempt attempt, long nowNanos) {
    fleet.onProbeAnswered(attempt.target.id());
    if (attempt.kind == Kind.DEAD) {
      rediscovered.accept(attempt.address, nowNanos);
    }
    if (attempt.kind == Kind.RELAYED) {
      ProbeAck ack = ProbeAck.newBuilder().setSequence(attempt.relaySequence).build();
      outbox.send(attempt.relayTo, outbox.newDatagram().setAck(ack), List.of(), nowNanos);
    }
  }

  /**
   * Probes the next node that is to be verified. At most one is probed in each tick, which bounds
   * the load after a failure of many nodes.
   */
  private void verify(long nowNanos) {
    NodeRecord told = fleet.pollVerification();
    if (told == null) {
      return;
    }
    NodeRecord target = fleet.liveRecord(told.id());
    Kind kind = fleet.isSuspected(told.id()) ? Kind.SUSPECTED : Kind.LIVE;
    send(new Attempt(kind, target.address(), target, nowNanos), told, nowNanos);
  }

  private void probeLive(NodeRecord target, long nowNanos) {
    if (target != null) {
      send(new Attempt(Kind.LIVE, target.address(), target, nowNanos), null, nowNanos);
    }
  }

  /**
   * Probes alternately a dead node and a contact address without a known live node, so that the
   * sides of a partition find each other again.
   */
  private void probeLost(long nowNanos) {
    contactNext = !contactNext;
    NodeRecord dead = fleet.departedNodes().randomDead();
    InetSocketAddress contact = unknownContact();
    if (contact != null && (contactNext || dead == null)) {
      send(new Attempt(Kind.CONTACT, contact, null, nowNanos), null, nowNanos);
    } else if (dead != null) {
      send(new Attempt(Kind.DEAD, dead.address(), dead, nowNanos), null, nowNanos);
    }
  }

  private InetSocketAddress unknownContact() {
    List<InetSocketAddress> unknown = new ArrayList<>();
    for (InetSocketAddress contact : contacts) {
      if (!contact.equals(local.record().address()) && fleet.liveAt(contact) == null) {
        unknown.add(contact);
      }
    }
    return unknown.isEmpty() ? null : unknown.get(random.nextInt(unknown.size()));
  }

  private void send(Attempt attempt, NodeRecord told, long nowNanos) {
    sequence++;
    attempts.put(sequence, attempt);
    Probe.Builder probe = Probe.newBuilder().setSequence(sequence);
    List<NodeRecord> first = new ArrayList<>();
    addIfPresent(first, told);
    if (attempt.target == null) {
      first.add(local.record());
    } else {
      probe.setTarget(attempt.target.id().value());
      addIfPresent(first, fleet.suspectedOrDead(attempt.target.id()));
    }
    Datagram.Builder datagram = outbox.newDatagram().setProbe(probe);
    outbox.send(attempt.address, datagram, first, nowNanos);
  }

  private void checkAttempts(long nowNanos) {
    List<NodeId> failed = new ArrayList<>();
    Long2ObjectHashMap<Attempt>.EntryIterator entries = attempts.entrySet().iterator();
    while (entries.hasNext()) {
      entries.next();
      Attempt attempt = entries.getValue();
      long age = nowNanos - attempt.startedAt;
      if (age >= settings.probePeriod().toNanos()) {
        if (attempt.kind == Kind.LIVE) {
          failed.add(attempt.target.id());
        }
        entries.remove();
      } else if (age >= settings.indirectDelay().toNanos()) {
        probeIndirectly(entries.getLongKey(), attempt, nowNanos);
      }
    }
    failed.forEach(id -> fleet.suspect(id, nowNanos));
  }

  private void probeIndirectly(long attemptSequence, Attempt attempt, long nowNanos) {
    if (attempt.indirect || attempt.kind != Kind.LIVE) {
      return;
    }
    attempt.indirect = true;
    NodeId target = attempt.target.id();
    IndirectProbe request =
        IndirectProbe.newBuilder()
            .setSequence(attemptSequence)
            .setTarget(codec.encode(attempt.target, nowNanos))
            .build();
    List<NodeRecord> helpers =
        fleet.sampler().sample(settings.indirectProbes(), node -> !node.id().equals(target));
    for (NodeRecord helper : helpers) {
      attempt.helpers.add(helper.id());
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
