package io.foxtaildoor.version.distribution;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.platform.VirtualTime;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.manifest.ConfigurationHolder;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.VersionStamp;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** Simulates many distributors on one thread in virtual time, over a network with seeded faults. */
final class SimulatedFleet {
  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Size of a notice datagram: the stamp of 8 + 32 bytes, field headers and the sender. */
  private static final int NOTICE_BYTES = 80;

  private static final long CALL_TIMEOUT = 2 * SECOND;

  final VirtualTime time = new VirtualTime();
  final List<Node> nodes = new ArrayList<>();
  final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final Random random;

  /** Number of pulls started beyond the limits of one per source and two in total. */
  int excessPulls;

  /** Fraction of datagrams and calls that are lost. */
  double lossRate;

  /** Fraction of notices that arrive twice. */
  double duplicateRate;

  /** Maximum additional random delay, which causes messages to arrive out of order. */
  long jitterNanos = 1;

  SimulatedFleet(int size, long seed) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i, new Random(seed * 10_000 + i)));
    }
    nodes.forEach(Node::start);
  }

  private long randomDelay() {
    return MILLI + random.nextLong(jitterNanos);
  }

  private boolean isLost(Node from, Node to) {
    return from.isolated || to.isolated || random.nextDouble() < lossRate;
  }

  private Node randomOtherNode(Node node) {
    int index = random.nextInt(nodes.size() - 1);
    return nodes.get(index < node.index ? index : index + 1);
  }

  private Node nodeAt(InetSocketAddress address) {
    return nodes.get(address.getPort() - 1);
  }

  /**
   * Runs until all nodes hold a version. Returns the time taken, or -1 if the limit is exceeded.
   */
  long timeToConverge(VersionStamp stamp, long limitNanos) {
    long start = time.getAsLong();
    while (!nodes.stream().allMatch(node -> node.held().stamp().equals(stamp))) {
      if (time.getAsLong() - start >= limitNanos) {
        return -1;
      }
      time.advance(10 * MILLI);
    }
    return time.getAsLong() - start;
  }

  /** Distributes a version and then a change of one team. Returns the time taken by the change. */
  long spreadOneChange(int teams) {
    VersionSequence versions = new VersionSequence(teams).change(0);
    nodes.get(0).publish(versions);
    timeToConverge(versions.manifest().stamp(), 60 * SECOND);
    time.advance(2 * SECOND);
    nodes.forEach(node -> node.transferredBytes = 0);
    nodes.get(1).publish(versions.change(1));
    long takenNanos = timeToConverge(versions.manifest().stamp(), 60 * SECOND);
    time.advance(2 * SECOND);
    return takenNanos;
  }

  /** Replaces the process of a node by a new one, which holds no configuration. */
  void restart(int index) {
    nodes.get(index).isolated = true;
    Node restarted = new Node(index, new Random(random.nextLong()));
    nodes.set(index, restarted);
    restarted.start();
  }

  long totalBreaches() {
    return nodes.stream().mapToLong(node -> node.invariants.totalBreaches()).sum();
  }

  /** A node with a distributor and fakes of its collaborators. */
  final class Node {
    final int index;
    final InetSocketAddress address;
    final Invariants invariants = new Invariants((invariant, detail) -> {});
    final ConfigurationHolder holder = new ConfigurationHolder(invariants);
    final ConfigurationDistributor distributor;
    final List<Long> appliedVersions = new ArrayList<>();

    /** Modifies the answers that this node sends; a null answer never arrives. */
    UnaryOperator<Frame> answerFault = UnaryOperator.identity();

    boolean isolated;
    int rounds;
    long transferredBytes;
    private Node lastSource;
    private final List<OpenPull> openPulls = new ArrayList<>();

    private record OpenPull(Node source, CompletableFuture<Frame> call, long startNanos) {}

    Node(int index, Random nodeRandom) {
      this.index = index;
      address = new InetSocketAddress(InetAddress.getLoopbackAddress(), index + 1);
      distributor =
          new ConfigurationDistributor(
              DistributionSettings.defaults(),
              holder,
              this::call,
              this::sendNotices,
              time,
              time,
              nodeRandom,
              registry);
    }

    ConfigurationSnapshot held() {
      return holder.current();
    }

    void publish(VersionSequence versions) {
      lastSource = null;
      distributor.onPublished(versions.manifest(), versions.parts());
    }

    private void start() {
      holder.addListener(
          next -> {
            appliedVersions.add(next.stamp().version());
            rounds = lastSource == null ? 0 : lastSource.rounds + 1;
          });
      distributor.start();
      time.schedule(random.nextLong(SECOND), this::probe);
    }

    /** Exchanges stamps with a random node, as a probe and its acknowledgement do. */
    private void probe() {
      Node target = randomOtherNode(this);
      sendNotice(target, held().stamp());
      target.sendNotice(this, target.held().stamp());
      time.schedule(SECOND, this::probe);
    }

    private void sendNotices(VersionStamp stamp, int fanout) {
      for (int i = 0; i < fanout; i++) {
        transferredBytes += NOTICE_BYTES;
        sendNotice(randomOtherNode(this), stamp);
      }
    }

    private void sendNotice(Node target, VersionStamp stamp) {
      int copies = random.nextDouble() < duplicateRate ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        if (!isLost(this, target)) {
          time.schedule(randomDelay(), () -> target.distributor.stampReceived(address, stamp));
        }
      }
    }

    /** Counts pulls beyond one per source and two in total, ignoring those that timed out. */
    private void countExcessPulls(Node target, CompletableFuture<Frame> call) {
      long timeout = DistributionSettings.defaults().pullTimeout().toNanos();
      openPulls.removeIf(
          pull -> pull.call.isDone() || time.getAsLong() - pull.startNanos >= timeout);
      if (openPulls.size() >= 2 || openPulls.stream().anyMatch(pull -> pull.source == target)) {
        excessPulls++;
      }
      openPulls.add(new OpenPull(target, call, time.getAsLong()));
    }

    private CompletableFuture<Frame> call(InetSocketAddress to, Frame request) {
      CompletableFuture<Frame> result = new CompletableFuture<>();
      Node target = nodeAt(to);
      countExcessPulls(target, result);
      if (isLost(this, target)) {
        var failure = new FoxtaildoorException(ErrorKind.NODE_UNREACHABLE, "lost");
        time.schedule(CALL_TIMEOUT, () -> result.completeExceptionally(failure));
        return result;
      }
      Runnable serveRequest =
          () -> {
            Frame answer = target.answerFault.apply(target.distributor.handle(request));
            if (answer == null) {
              return;
            }
            int size = request.getSerializedSize() + answer.getSerializedSize();
            transferredBytes += size;
            target.transferredBytes += size;
            time.schedule(
                randomDelay(),
                () -> {
                  lastSource = target;
                  result.complete(answer);
                });
          };
      time.schedule(randomDelay(), serveRequest);
      return result;
    }
  }
}
