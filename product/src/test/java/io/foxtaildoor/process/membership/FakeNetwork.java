package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/**
 * Simulated fleet of {@link SwimCore} instances in one thread, with virtual time and a network
 * whose randomness is seeded.
 */
final class FakeNetwork {
  private static final long MILLISECOND = 1_000_000;
  private static final int PORT = 7_000;
  private static final int MAX_DATAGRAM_BYTES = 1_400;
  private static final Digest DIGEST = Digest.of(new byte[] {1});

  /** A node of the fleet, with the outputs and callbacks that it received. */
  static final class Node {
    final SwimCore core;
    final MembershipCounters counters = new MembershipCounters();
    final List<VersionStamp> heardVersions = new ArrayList<>();
    final List<StatusAnswer> statusAnswers = new ArrayList<>();
    final Map<NodeState, Integer> changesByState = new LinkedHashMap<>();
    VersionStamp held = new VersionStamp(1, DIGEST);
    boolean paused;
    boolean joined;
    boolean leavingPushed;
    private final DatagramDecoder decoder;

    Node(NodeRecord self, MembershipSettings settings, SplittableRandom random) {
      NodeStatus status = new NodeStatus(new VersionStamp(1, DIGEST), 0, "", 0);
      MembershipCallbacks callbacks =
          new MembershipCallbacks(
              () -> held, (from, stamp) -> heardVersions.add(stamp), () -> status);
      core = new SwimCore(settings, self, callbacks, counters, random.split());
      decoder = new DatagramDecoder(settings.cluster(), self.id(), counters);
    }

    InetSocketAddress address() {
      return core.self().address();
    }

    NodeId id() {
      return core.self().id();
    }

    NodeState stateOf(Node other) {
      NodeRecord record = core.table().record(other.id());
      return record == null ? null : record.state();
    }

    long liveNodeCount() {
      return core.table().records().stream().filter(NodeRecords::isLive).count();
    }
  }

  private record Event(long at, long order, InetSocketAddress to, Runnable action) {}

  final Map<InetSocketAddress, Node> nodes = new LinkedHashMap<>();
  double loss;
  double duplication;
  Duration maxDelay = Duration.ofMillis(5);
  BiPredicate<InetSocketAddress, InetSocketAddress> blocked = (from, to) -> false;
  long now = 1_000 * MILLISECOND;
  long datagrams;
  long bytes;
  long updates;
  long frameBytes;
  private final MembershipSettings settings;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Set<Event> delayedEvents = new HashSet<>();
  private long order;
  private int startedProcesses;

  FakeNetwork(MembershipSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  static NodeRecord record(String id, int host, long incarnation) {
    byte[] address = {10, 0, (byte) (host >> 8), (byte) host};
    try {
      return new NodeRecord(
          new NodeId(id),
          new InetSocketAddress(InetAddress.getByAddress(address), PORT),
          new RegionId("ke-central"),
          new DataCentreId("ke-central-" + "abc".charAt(host % 3)),
          incarnation,
          NodeState.ALIVE,
          Optional.empty());
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts a process on a host; one that already runs there is replaced without leaving. */
  Node start(int host, long incarnation) {
    List<InetSocketAddress> contacts = new ArrayList<>();
    for (int contact = 0; contact < 3; contact++) {
      contacts.add(record("contact", contact, 1).address());
    }
    return start(host, incarnation, contacts);
  }

  /** Starts a process on a host with the given contact addresses. */
  Node start(int host, long incarnation, List<InetSocketAddress> contacts) {
    NodeRecord self = record("node-" + host + "-" + startedProcesses++, host, incarnation);
    Node node = new Node(self, settings, random);
    nodes.put(self.address(), node);
    node.core.setContacts(contacts);
    node.core.start(now);
    return node;
  }

  /** Starts a fleet of nodes on the hosts 0 to {@code size - 1}, without running it. */
  List<Node> startFleet(int size) {
    List<Node> fleet = new ArrayList<>();
    for (int host = 0; host < size; host++) {
      fleet.add(start(host, 100));
    }
    return fleet;
  }

  void kill(Node node) {
    nodes.remove(node.address(), node);
  }

  void resume(Node node) {
    node.paused = false;
    events.addAll(delayedEvents);
    delayedEvents.clear();
  }

  /** Runs the fleet for a duration of virtual time. */
  void run(Duration time) {
    long end = now + time.toNanos();
    while (now < end) {
      now += SwimCore.TICK.toNanos();
      deliver();
      for (Node node : List.copyOf(nodes.values())) {
        if (!node.paused) {
          node.core.tick(now);
          perform(node);
        }
      }
    }
  }

  /** Runs the fleet until a condition holds and returns the virtual time that this took. */
  Duration runUntil(Duration limit, BooleanSupplier condition) {
    long begin = now;
    while (!condition.getAsBoolean()) {
      if (now - begin > limit.toNanos()) {
        throw new AssertionError("condition not met within " + limit);
      }
      run(SwimCore.TICK);
    }
    return Duration.ofNanos(now - begin);
  }

  /** Whether the live nodes known to every running node are exactly the running nodes. */
  boolean converged() {
    Set<NodeId> running = new HashSet<>();
    nodes.values().forEach(node -> running.add(node.id()));
    for (Node node : nodes.values()) {
      Set<NodeId> live = new HashSet<>();
      for (NodeRecord record : node.core.table().records()) {
        if (NodeRecords.isLive(record)) {
          live.add(record.id());
        }
      }
      if (!live.equals(running)) {
        return false;
      }
    }
    return true;
  }

  /** Whether every node knows the given number of upstreams of a service. */
  boolean upstreamsKnown(ServiceId service, int count) {
    return nodes.values().stream()
        .allMatch(node -> node.core.index().find(service).size() == count);
  }

  /** Performs the pending outputs of a node. */
  void perform(Node node) {
    for (SwimOutput output : node.core.drain()) {
      if (output instanceof SwimOutput.SendDatagram send) {
        send(node, send);
      } else if (output instanceof SwimOutput.CallNode call) {
        call(node, call);
      } else if (output instanceof SwimOutput.RecordChanged changed) {
        node.changesByState.merge(changed.record().state(), 1, Integer::sum);
      } else if (output instanceof SwimOutput.VersionReceived received) {
        node.heardVersions.add(received.stamp());
      } else if (output instanceof SwimOutput.Joined) {
        node.joined = true;
      } else if (output instanceof SwimOutput.LeavingPushed) {
        node.leavingPushed = true;
      } else if (output instanceof SwimOutput.StatusQueryFinished finished) {
        node.statusAnswers.addAll(finished.answers());
      }
    }
  }

  private void send(Node from, SwimOutput.SendDatagram send) {
    byte[] content = send.datagram().toByteArray();
    // Guards against datagrams that would be fragmented: with up to 1,000 bytes of updates and the
    // other fields they must fit into one packet.
    if (content.length > MAX_DATAGRAM_BYTES) {
      throw new AssertionError(
          content.length + " bytes in a datagram with body " + send.datagram().getBodyCase());
    }
    datagrams++;
    bytes += content.length;
    updates += send.datagram().getUpdatesCount();
    from.counters.increment(MembershipCounters.Counter.SENT_DATAGRAMS);
    from.counters.add(MembershipCounters.Counter.SENT_BYTES, content.length);
    int copies = random.nextDouble() < duplication ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= loss && !blocked.test(from.address(), send.to())) {
        schedule(send.to(), () -> receive(from.address(), send.to(), content));
      }
    }
  }

  private void receive(InetSocketAddress from, InetSocketAddress to, byte[] content) {
    Node node = nodes.get(to);
    if (node != null) {
      Optional<Datagram> datagram = node.decoder.decode(ByteBuffer.wrap(content));
      datagram.ifPresent(accepted -> node.core.onDatagram(from, accepted, now));
      perform(node);
    }
  }

  private void call(Node from, SwimOutput.CallNode call) {
    boolean fails = blocked.test(from.address(), call.to()) || !nodes.containsKey(call.to());
    if (fails) {
      schedule(from.address(), () -> from.core.onReply(call.callId(), null, now));
      return;
    }
    frameBytes += call.request().getSerializedSize();
    schedule(
        call.to(),
        () -> {
          Node node = nodes.get(call.to());
          if (node == null) {
            return;
          }
          Frame reply = node.core.answer(call.request(), now);
          frameBytes += reply.getSerializedSize();
          if (call.request().hasStateExchange()) {
            node.core.mergeExchange(call.request().getStateExchange(), now);
          }
          perform(node);
          schedule(from.address(), () -> from.core.onReply(call.callId(), reply, now));
        });
  }

  private void schedule(InetSocketAddress to, Runnable action) {
    long delay = MILLISECOND / 2 + random.nextLong(maxDelay.toNanos());
    events.add(new Event(now + delay, order++, to, action));
  }

  private void deliver() {
    long step = now;
    while (!events.isEmpty() && events.peek().at() <= step) {
      Event event = events.poll();
      Node node = nodes.get(event.to());
      if (node != null && node.paused) {
        delayedEvents.add(event);
      } else {
        now = Math.max(event.at(), step - SwimCore.TICK.toNanos());
        event.action().run();
        if (node != null) {
          perform(node);
        }
      }
    }
    now = step;
  }
}
