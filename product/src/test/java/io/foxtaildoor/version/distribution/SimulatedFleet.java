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

/** Many distributors in one thread and virtual time, over a network with seeded faults. */
final class SimulatedFleet {
  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Datagram with a stamp: 8 + 32 bytes, their field headers and the sender. */
  private static final int NOTICE_BYTES = 80;

  private static final long CALL_TIMEOUT = 2 * SECOND;

  final VirtualTime time = new VirtualTime();
  final List<Node> nodes = new ArrayList<>();
  final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final Random random;

  /** Pulls that exceed one from a source or two in all. */
  int excessPulls;

  /** Share of datagrams and calls that are lost. */
  double loss;

  /** Share of notices that arrive twice. */
  double duplicates;

  /** Longest additional delay, which reorders what was sent earlier. */
  long jitterNanos = 1;

  SimulatedFleet(int size, long seed) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i, new Random(seed * 10_000 + i)));
    }
    nodes.forEach(Node::start);
  }

  private long delay() {
    return MILLI + random.nextLong(jitterNanos);
  }

  private boolean lost(Node from, Node to) {
    return from.isolated || to.isolated || random.nextDouble() < loss;
  }

  private Node other(Node node) {
    int index = random.nextInt(nodes.size() - 1);
    return nodes.get(index < node.index ? index : index + 1);
  }

  private Node at(InetSocketAddress address) {
    return nodes.get(address.getPort() - 1);
  }

  /** Runs until all nodes hold a version; gives the time or -1 after the limit. */
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

  /** Brings a version and then a change of one team to all nodes; gives the time of the change. */
  long spreadOneChange(int teams) {
    Versions versions = new Versions(teams).change(0);
    nodes.get(0).publish(versions);
    timeToConverge(versions.manifest().stamp(), 60 * SECOND);
    time.advance(2 * SECOND);
    nodes.forEach(node -> node.bytes = 0);
    nodes.get(1).publish(versions.change(1));
    long taken = timeToConverge(versions.manifest().stamp(), 60 * SECOND);
    time.advance(2 * SECOND);
    return taken;
  }

  long breaches() {
    return nodes.stream().mapToLong(node -> node.invariants.totalBreaches()).sum();
  }

  /** A node with a distributor and small fakes around it. */
  final class Node {
    final int index;
    final InetSocketAddress address;
    final Invariants invariants = new Invariants((invariant, detail) -> {});
    final ConfigurationHolder holder = new ConfigurationHolder(invariants);
    final ConfigurationDistributor distributor;
    final List<Long> versions = new ArrayList<>();

    /** Changes answers; an answer of null never arrives. */
    UnaryOperator<Frame> fault = UnaryOperator.identity();

    boolean isolated;
    int rounds;
    long bytes;
    private Node lastSource;
    private final List<OpenPull> open = new ArrayList<>();

    private record OpenPull(Node source, CompletableFuture<Frame> call, long atNanos) {}

    Node(int index, Random own) {
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
              own,
              registry);
    }

    ConfigurationSnapshot held() {
      return holder.current();
    }

    void publish(Versions versions) {
      lastSource = null;
      distributor.published(versions.manifest(), versions.parts());
    }

    private void start() {
      holder.addListener(
          next -> {
            versions.add(next.stamp().version());
            rounds = lastSource == null ? 0 : lastSource.rounds + 1;
          });
      distributor.start();
      time.schedule(random.nextLong(SECOND), this::probe);
    }

    /** Probe and acknowledgement carry the stamps of both nodes. */
    private void probe() {
      Node target = other(this);
      notice(target, held().stamp());
      target.notice(this, target.held().stamp());
      time.schedule(SECOND, this::probe);
    }

    private void sendNotices(VersionStamp stamp, int fanout) {
      for (int i = 0; i < fanout; i++) {
        bytes += NOTICE_BYTES;
        notice(other(this), stamp);
      }
    }

    private void notice(Node target, VersionStamp stamp) {
      int copies = random.nextDouble() < duplicates ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        if (!lost(this, target)) {
          time.schedule(delay(), () -> target.distributor.heard(address, stamp));
        }
      }
    }

    /** At most one pull from a source and two in all, but for those that timed out. */
    private void checkPulls(Node target, CompletableFuture<Frame> call) {
      long timeout = DistributionSettings.defaults().pullTimeout().toNanos();
      open.removeIf(pull -> pull.call.isDone() || time.getAsLong() - pull.atNanos >= timeout);
      if (open.size() >= 2 || open.stream().anyMatch(pull -> pull.source == target)) {
        excessPulls++;
      }
      open.add(new OpenPull(target, call, time.getAsLong()));
    }

    private CompletableFuture<Frame> call(InetSocketAddress to, Frame request) {
      CompletableFuture<Frame> result = new CompletableFuture<>();
      Node target = at(to);
      checkPulls(target, result);
      if (lost(this, target)) {
        var failure = new FoxtaildoorException(ErrorKind.NODE_UNREACHABLE, "lost");
        time.schedule(CALL_TIMEOUT, () -> result.completeExceptionally(failure));
        return result;
      }
      Runnable serve =
          () -> {
            Frame answer = target.fault.apply(target.distributor.handle(request));
            if (answer == null) {
              return;
            }
            int size = request.getSerializedSize() + answer.getSerializedSize();
            bytes += size;
            target.bytes += size;
            time.schedule(
                delay(),
                () -> {
                  lastSource = target;
                  result.complete(answer);
                });
          };
      time.schedule(delay(), serve);
      return result;
    }
  }
}
