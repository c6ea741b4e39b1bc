package io.foxtaildoor.process.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.manifest.VersionStamp;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link Membership} with UDP sockets on the loopback interface. */
public class MembershipTest {
  private static final ServiceId SERVICE = new ServiceId("bookings");

  private final Map<InetSocketAddress, Membership> peers = new ConcurrentHashMap<>();
  private final List<VersionStamp> receivedVersions = new ArrayList<>();
  private MultiThreadIoEventLoopGroup group;

  @BeforeMethod
  public void startGroup() {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  }

  @AfterMethod
  public void stopGroup() {
    peers.values().forEach(Membership::close);
    peers.values().forEach(peer -> peer.closed().join());
    peers.clear();
    group.shutdownGracefully(0, 5, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Guards against a transport that loses joins, announcements, departures or status replies. */
  @Test
  public void joinsAnnouncesQueriesAndLeaves() throws Exception {
    Membership first = start("node-1", freeAddress(), List.of());
    Membership second = start("node-2", freeAddress(), List.of(first.self().address()));
    second.joined().get(30, TimeUnit.SECONDS);
    await(first, () -> first.node(new NodeId("node-2")).isPresent());
    second.announceUpstream(SERVICE, 9, Duration.ofSeconds(3));
    await(first, () -> first.upstreams(SERVICE).size() == 1);
    List<StatusAnswer> answers =
        first.queryStatus(Duration.ofSeconds(20)).get(60, TimeUnit.SECONDS);
    assertEquals(answers.stream().filter(answer -> answer.status().isPresent()).count(), 2);
    second.leave().get(30, TimeUnit.SECONDS);
    await(first, () -> first.upstreams(SERVICE).isEmpty());
    second.close();
    second.closed().get(30, TimeUnit.SECONDS);
    await(first, () -> first.node(new NodeId("node-2")).orElseThrow().state() == NodeState.LEFT);
  }

  /**
   * Guards against version notices that are not sent, or whose version is not passed to the
   * callback.
   */
  @Test
  public void versionNoticeReachesPeer() throws Exception {
    Membership first = start("node-1", freeAddress(), List.of());
    Membership second = start("node-2", freeAddress(), List.of(first.self().address()));
    second.joined().get(30, TimeUnit.SECONDS);
    VersionStamp stamp = new VersionStamp(5, Digest.of(new byte[] {5}));
    second.sendNotices(stamp, 4);
    synchronized (receivedVersions) {
      while (!receivedVersions.contains(stamp)) {
        receivedVersions.wait(30_000);
      }
    }
  }

  /** Guards against a socket that stops receiving after a datagram that is not a valid message. */
  @Test
  public void survivesInvalidDatagrams() throws Exception {
    Membership first = start("node-1", freeAddress(), List.of());
    try (DatagramSocket socket = new DatagramSocket()) {
      for (int i = 0; i < 20; i++) {
        socket.send(new DatagramPacket(new byte[i], i, first.self().address()));
      }
    }
    Membership second = start("node-2", freeAddress(), List.of(first.self().address()));
    second.joined().get(30, TimeUnit.SECONDS);
    await(first, () -> first.node(new NodeId("node-2")).isPresent());
    assertTrue(first.counters().value(Counter.RECEIVED_DATAGRAMS) > 0);
  }

  /** Guards against joins that try each contact address only once. */
  @Test
  public void joinsWhenContactBecomesReachable() throws Exception {
    InetSocketAddress contact = freeAddress();
    Membership second = start("node-2", freeAddress(), List.of(contact));
    await(second, () -> second.counters().value(Counter.FAILED_EXCHANGES) > 0);
    start("node-1", contact, List.of());
    second.joined().get(60, TimeUnit.SECONDS);
    assertEquals(second.nodes().size(), 2);
  }

  private Membership start(String id, InetSocketAddress address, List<InetSocketAddress> contacts) {
    NodeRecord self =
        new NodeRecord(
            new NodeId(id),
            address,
            new RegionId("ke-central"),
            new DataCentreId("ke-central-a"),
            1,
            NodeState.ALIVE,
            Optional.empty());
    MembershipCallbacks callbacks =
        new MembershipCallbacks(
            () -> VersionStamp.NONE,
            (from, stamp) -> {
              synchronized (receivedVersions) {
                receivedVersions.add(stamp);
                receivedVersions.notifyAll();
              }
            },
            () -> new NodeStatus(VersionStamp.NONE, 0, "", 0));
    Membership membership =
        new Membership(
            MembershipSettings.defaults(),
            self,
            group,
            System::nanoTime,
            new SplittableRandom(1),
            this::call,
            callbacks);
    membership.setContacts(contacts);
    membership.start();
    peers.put(address, membership);
    return membership;
  }

  private CompletableFuture<Frame> call(InetSocketAddress address, Frame request) {
    Membership peer = peers.get(address);
    return peer == null
        ? CompletableFuture.failedFuture(new IOException("refused"))
        : CompletableFuture.completedFuture(peer.handle(request));
  }

  /**
   * Waits for a condition that changes only with a record or after a retry; checks it after each
   * change of a record and every 20 ms.
   */
  private static void await(Membership membership, BooleanSupplier condition)
      throws InterruptedException {
    CountDownLatch changed = new CountDownLatch(1);
    membership.addListener(
        record -> {
          if (condition.getAsBoolean()) {
            changed.countDown();
          }
        });
    while (!condition.getAsBoolean() && !changed.await(20, TimeUnit.MILLISECONDS)) {
      Thread.onSpinWait();
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (DatagramSocket socket = new DatagramSocket(0, loopback)) {
      return new InetSocketAddress(loopback, socket.getLocalPort());
    }
  }
}
