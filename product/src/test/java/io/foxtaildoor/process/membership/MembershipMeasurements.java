package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.FakeNetwork.Node;
import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Probe;
import io.foxtaildoor.protocol.ProbeAck;
import io.foxtaildoor.protocol.StateExchange;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.testng.annotations.Test;

/**
 * Measures traffic, memory and latency of the membership protocol. Not part of the test suite; run
 * it by name: {@code mvn -pl product -am test -Dtest=MembershipMeasurements
 * -Dsurefire.failIfNoSpecifiedTests=false}.
 */
public class MembershipMeasurements {
  private static final int SERVICES = 810;
  private static final int FLEET = 12_000;
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

  /**
   * Payload bytes and datagrams of one idle node, by the number of nodes that it knows, while no
   * record changes.
   */
  @Test
  public void idleTraffic() {
    for (int known : new int[] {10, 100, 1_000, FLEET}) {
      IdleNode idleNode = new IdleNode(known);
      idleNode.run(Duration.ofSeconds(400));
      idleNode.reset();
      idleNode.run(Duration.ofMinutes(10));
      print(
          "rest known=%d sent=%.0f B/s %.2f datagrams/s received=%.0f B/s %.2f datagrams/s"
              + " exchange=%.1f B/s",
          known,
          idleNode.sentBytes / 600.0,
          idleNode.sent / 600.0,
          idleNode.receivedBytes / 600.0,
          idleNode.received / 600.0,
          idleNode.frameBytes / 600.0);
    }
  }

  /** Time, datagrams and bytes until all nodes of a fake network know one announcement. */
  @Test
  public void announcementPropagation() {
    for (int size : new int[] {10, 100, 1_000}) {
      FakeNetwork network = fleet(size);
      long updatesBefore = network.updates;
      long bytesBefore = network.bytes;
      Node node = network.nodes.values().iterator().next();
      ServiceId service = new ServiceId("bookings");
      node.core.announce(service, 9, network.now, network.now);
      long incarnation = node.core.self().incarnation();
      Duration time =
          network.runUntil(
              Duration.ofSeconds(100),
              () -> allKnow(network, node, record -> record.incarnation() >= incarnation));
      long updates = network.updates - updatesBefore;
      print(
          "spread nodes=%d time=%d ms updates sent=%d (%.1f for each node) datagram bytes=%d",
          size, time.toMillis(), updates, updates / (double) size, network.bytes - bytesBefore);
    }
  }

  /** Time until all nodes of a fake network know that one node is leaving. */
  @Test
  public void leavePropagation() {
    for (int size : new int[] {20, 100, 1_000}) {
      FakeNetwork network = fleet(size);
      for (double loss : new double[] {0, 0.05}) {
        network.loss = loss;
        List<Long> times = new ArrayList<>();
        List<Node> nodes = List.copyOf(network.nodes.values());
        for (int i = 1; i <= 5; i++) {
          Node leaving = nodes.get(nodes.size() - i);
          long before = network.datagrams;
          leaving.core.leave(network.now);
          network.perform(leaving);
          Predicate<NodeRecord> known = record -> record.state() == NodeState.LEAVING;
          Duration time =
              network.runUntil(Duration.ofSeconds(60), () -> allKnow(network, leaving, known));
          times.add(time.toMillis());
          if (loss == 0 && i == 5) {
            print("leave nodes=%d datagrams of last=%d", size, network.datagrams - before);
          }
          leaving.core.markLeft(network.now);
          network.perform(leaving);
          network.kill(leaving);
        }
        print("leave nodes=%d loss=%.2f times=%s ms", nodes.size(), loss, times);
        network.run(Duration.ofSeconds(20));
      }
    }
  }

  /** Live nodes declared dead by 40 nodes in five virtual minutes, by packet loss and seed. */
  @Test
  public void falseDeaths() {
    for (double loss : new double[] {0.01, 0.05, 0.10}) {
      List<Integer> deaths = new ArrayList<>();
      for (long seed = 1; seed <= 10; seed++) {
        FakeNetwork network = new FakeNetwork(SETTINGS, seed);
        network.startFleet(40);
        network.runUntil(Duration.ofMinutes(5), network::converged);
        network.loss = loss;
        network.run(Duration.ofMinutes(5));
        int dead = 0;
        for (Node node : network.nodes.values()) {
          dead += node.changesByState.getOrDefault(NodeState.DEAD, 0);
        }
        deaths.add(dead);
      }
      print("false deaths loss=%.2f nodes=40 by seed=%s", loss, deaths);
    }
  }

  /**
   * Time to converge after a partition and after a mass restart, and deaths declared after the
   * partition healed.
   */
  @Test
  public void recoveryTime() {
    for (long seed = 1; seed <= 5; seed++) {
      FakeNetwork network = new FakeNetwork(SETTINGS, seed);
      List<Node> fleet = network.startFleet(100);
      network.runUntil(Duration.ofMinutes(9), network::converged);
      network.blocked =
          (from, to) -> (from.getAddress().hashCode() + to.getAddress().hashCode()) % 2 != 0;
      network.run(Duration.ofMinutes(3));
      fleet.forEach(node -> node.changesByState.clear());
      network.blocked = (from, to) -> false;
      Duration healed = network.runUntil(Duration.ofMinutes(9), network::converged);
      int dead = 0;
      for (Node node : fleet) {
        dead += node.changesByState.getOrDefault(NodeState.DEAD, 0);
      }
      for (int host = 0; host < 100; host += 2) {
        network.start(host, 200);
      }
      Duration restarted = network.runUntil(Duration.ofMinutes(9), network::converged);
      print(
          "recovery seed=%d healed=%d ms deaths=%d half restarted=%d ms",
          seed, healed.toMillis(), dead, restarted.toMillis());
    }
  }

  /** Heap used by the node table and the upstream index with 12,000 records. */
  @Test
  public void heapUsage() {
    int copies = 20;
    List<Frame> frames = List.of(frame(FLEET));
    new LoadedCore(frames.get(0));
    long before = usedHeap();
    List<LoadedCore> loaded = new ArrayList<>();
    for (int i = 0; i < copies; i++) {
      loaded.add(new LoadedCore(frames.get(0)));
    }
    long used = usedHeap() - before;
    print("heap records=%d bytes/record=%.0f", FLEET, used / (double) copies / FLEET);
    print("heap loaded=%d frames=%d", loaded.size(), frames.size());
  }

  /**
   * Time of one lookup of the upstreams of a service, and of one change of a record, with 12,000
   * nodes in 810 services.
   */
  @Test
  public void lookupTime() {
    LoadedCore loaded = new LoadedCore(frame(FLEET));
    ServiceId[] services = new ServiceId[SERVICES];
    for (int i = 0; i < SERVICES; i++) {
      services[i] = new ServiceId("service-" + i);
    }
    long found = 0;
    int rounds = 20_000;
    for (int pass = 0; pass < 3; pass++) {
      long begin = System.nanoTime();
      for (int i = 0; i < rounds; i++) {
        for (ServiceId service : services) {
          found += loaded.core.index().find(service).size();
        }
      }
      double nanos = (System.nanoTime() - begin) / (double) rounds / SERVICES;
      print("lookup pass=%d ns=%.1f found=%d", pass, nanos, found);
    }
    long begin = System.nanoTime();
    for (int i = 0; i < 10_000; i++) {
      loaded.core.announce(services[i % SERVICES], 9, i, i);
    }
    print("change of one record ns=%.0f", (System.nanoTime() - begin) / 10_000.0);
  }

  /** Frame sizes of a state exchange between two nodes with 12,000 records each. */
  @Test
  public void exchangeSize() {
    LoadedCore initiator = new LoadedCore(frame(FLEET));
    LoadedCore responder = new LoadedCore(frame(FLEET));
    initiator.core.table().remove(initiator.core.self().id());
    responder.core.table().remove(responder.core.self().id());
    StateExchanges initiatorExchanges =
        new StateExchanges(initiator.core.table(), new NodeRecordCodec());
    Frame digest = initiatorExchanges.digestFrame();
    Frame equal = responder.core.answer(digest, 0);
    print(
        "exchange equal request=%d reply=%d bytes",
        digest.getSerializedSize(), equal.getSerializedSize());
    NodeRecord changed = responder.core.table().records().get(77);
    KnownNode changedNode = responder.core.table().find(changed.id());
    responder
        .core
        .table()
        .replace(
            changedNode,
            NodeRecords.withState(changed, changed.incarnation() + 1, NodeState.ALIVE));
    Frame digests = responder.core.answer(digest, 0);
    List<Integer> differing = initiatorExchanges.differingBuckets(digests.getStateDigest());
    Frame records = initiatorExchanges.recordsFrame(differing, 0);
    Frame reply = responder.core.answer(records, 0);
    print(
        "exchange one bucket of %d: digests=%d+%d records=%d reply=%d bytes",
        differing.size(),
        digest.getSerializedSize(),
        digests.getSerializedSize(),
        records.getSerializedSize(),
        reply.getSerializedSize());
    int whole = 0;
    for (int bucket = 0; bucket < NodeTable.BUCKETS; bucket++) {
      whole += initiatorExchanges.recordsFrame(List.of(bucket), 0).getSerializedSize();
    }
    print("exchange all records=%d bytes, %.1f a record", whole, whole / (double) FLEET);
  }

  private static boolean allKnow(FakeNetwork network, Node subject, Predicate<NodeRecord> known) {
    for (Node node : network.nodes.values()) {
      NodeRecord record = node.core.table().record(subject.id());
      if (record == null || !known.test(record)) {
        return false;
      }
    }
    return true;
  }

  private static FakeNetwork fleet(int size) {
    FakeNetwork network = new FakeNetwork(SETTINGS, 7);
    network.startFleet(size);
    int seconds = 0;
    while (!network.converged()) {
      network.run(Duration.ofSeconds(5));
      seconds += 5;
    }
    print(
        "fleet nodes=%d converged after %d s, frames=%d bytes", size, seconds, network.frameBytes);
    long updates;
    do {
      updates = network.updates;
      network.run(Duration.ofSeconds(10));
      seconds += 10;
    } while (network.updates - updates > size);
    print("fleet nodes=%d at rest after %d s", size, seconds);
    return network;
  }

  private static Frame frame(int records) {
    NodeRecordCodec codec = new NodeRecordCodec();
    StateExchange.Builder exchange = StateExchange.newBuilder();
    for (int i = 0; i < records; i++) {
      NodeRecord plain = FakeNetwork.record("node-" + i + "-a81bc81b", i + 100, 1_700_000_000);
      UpstreamAnnouncement upstream =
          new UpstreamAnnouncement(new ServiceId("service-" + i % SERVICES), 9, 0);
      NodeRecord record =
          new NodeRecord(
              plain.id(),
              plain.address(),
              plain.region(),
              plain.dataCentre(),
              plain.incarnation(),
              plain.state(),
              Optional.of(upstream));
      exchange.addRecords(codec.encode(record, 1_000_000_000L));
    }
    return Frame.newBuilder().setStateExchange(exchange).build();
  }

  private static long usedHeap() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static void print(String format, Object... values) {
    System.out.println("MEASURED " + String.format(Locale.ROOT, format, values));
  }

  /** A core that has merged the records of a frame. */
  private static final class LoadedCore {
    final SwimCore core;

    LoadedCore(Frame frame) {
      NodeStatus status = new NodeStatus(VersionStamp.NONE, 0, "", 0);
      VersionStamp held = new VersionStamp(14_000, VersionStamp.NONE.digest());
      core =
          new SwimCore(
              SETTINGS,
              FakeNetwork.record("node-0-a81bc81a", 1, 1_700_000_000),
              new MembershipCallbacks(() -> held, (from, stamp) -> {}, () -> status),
              new MembershipCounters(),
              new SplittableRandom(3));
      core.mergeExchange(frame.getStateExchange(), 0);
      core.drain();
    }
  }

  /**
   * One core whose known nodes answer all its probes, and which a random one of them probes once in
   * each probe period.
   */
  private static final class IdleNode {
    private final LoadedCore loaded;
    private final SplittableRandom random = new SplittableRandom(5);
    private final List<NodeRecord> others;
    private long now = 1;
    long sent;
    long sentBytes;
    long received;
    long receivedBytes;
    long frameBytes;

    IdleNode(int known) {
      loaded = new LoadedCore(frame(known));
      others = loaded.core.table().records();
      others.removeIf(record -> record.id().equals(loaded.core.self().id()));
      loaded.core.setContacts(List.of(others.get(0).address()));
      loaded.core.start(now);
    }

    void reset() {
      sent = 0;
      sentBytes = 0;
      received = 0;
      receivedBytes = 0;
      frameBytes = 0;
    }

    void run(Duration time) {
      long end = now + time.toNanos();
      long nextProbe = now;
      while (now < end) {
        now += SwimCore.TICK.toNanos();
        if (now - nextProbe >= 0) {
          nextProbe += SETTINGS.probePeriod().toNanos();
          String self = loaded.core.self().id().value();
          NodeRecord prober = others.get(random.nextInt(others.size()));
          Probe probe = Probe.newBuilder().setSequence(70_000).setTarget(self).build();
          receive(prober, from(prober).setProbe(probe).build());
        }
        loaded.core.tick(now);
        perform();
      }
    }

    private void perform() {
      for (SwimOutput output : loaded.core.drain()) {
        if (output instanceof SwimOutput.SendDatagram send) {
          sent++;
          sentBytes += send.datagram().getSerializedSize();
          if (send.datagram().hasProbe()) {
            answer(send);
          }
        } else if (output instanceof SwimOutput.CallNode call) {
          // The called node has the same records.
          Frame reply = loaded.core.answer(call.request(), now);
          frameBytes += call.request().getSerializedSize() + reply.getSerializedSize();
          loaded.core.onReply(call.callId(), reply, now);
        }
      }
    }

    private void answer(SwimOutput.SendDatagram send) {
      Probe probe = send.datagram().getProbe();
      for (NodeRecord other : others) {
        if (other.id().value().equals(probe.getTarget())) {
          ProbeAck ack = ProbeAck.newBuilder().setSequence(probe.getSequence()).build();
          receive(other, from(other).setAck(ack).build());
        }
      }
    }

    private void receive(NodeRecord from, Datagram datagram) {
      received++;
      receivedBytes += datagram.getSerializedSize();
      loaded.core.onDatagram(from.address(), datagram, now);
      perform();
    }

    private static Datagram.Builder from(NodeRecord other) {
      VersionStamp held = new VersionStamp(14_000, VersionStamp.NONE.digest());
      return Datagram.newBuilder()
          .setProtocolVersion(DatagramDecoder.PROTOCOL_VERSION)
          .setCluster(SETTINGS.cluster())
          .setSender(other.id().value())
          .setSenderIncarnation(other.incarnation())
          .setHeld(held.toMessage());
    }
  }
}
