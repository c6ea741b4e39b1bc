package io.foxtaildoor.process.platform;

import static io.foxtaildoor.process.platform.HttpPlatformClientTest.await;
import static io.foxtaildoor.process.platform.HttpPlatformClientTest.awaitCondition;
import static io.foxtaildoor.process.platform.HttpPlatformClientTest.bytes;
import static io.foxtaildoor.process.platform.HttpPlatformClientTest.done;
import static org.testng.Assert.assertEquals;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.FleetView;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/**
 * Tests of {@link MeshContactDirectory} and {@link MeshContactRefresher} against a stand-in for the
 * platform.
 */
public class MeshContactRefresherTest extends HttpPlatformClientTest.WithStandIn {
  private static final DataCentreId OSLO = new DataCentreId("oslo-a");
  private static final DataCentreId KENYA = new DataCentreId("ke-central-a");

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private List<InetSocketAddress> refresh(DataCentreId dataCentre, int port, Integer... alive) {
    Set<Integer> ports = Set.of(alive);
    return await(
        new MeshContactDirectory(client)
            .refresh(dataCentre, address(port), other -> ports.contains(other.getPort())));
  }

  private List<InetSocketAddress> read() {
    return await(new MeshContactDirectory(client).read());
  }

  /** Guards against data centres that never discover each other. */
  @Test
  public void dataCentresDiscoverEachOther() {
    assertEquals(refresh(OSLO, 1), List.of());
    assertEquals(refresh(KENYA, 2), List.of(address(1)));
    assertEquals(refresh(OSLO, 1), List.of(address(2), address(1)));
  }

  /**
   * Guards against stale addresses that are kept, and against removing the addresses of other data
   * centres.
   */
  @Test
  public void addressesOfOwnDeadNodesAreRemoved() {
    refresh(KENYA, 9);
    refresh(OSLO, 1);
    refresh(OSLO, 2, 1);
    assertEquals(read(), List.of(address(2), address(1), address(9)));
    refresh(OSLO, 3, 2);
    assertEquals(read(), List.of(address(3), address(2), address(9)));
  }

  /** Guards against unbounded growth of the key, whether by many readers or by an invalid value. */
  @Test
  public void numberOfAddressesIsBounded() {
    for (int port = 1; port <= 9; port++) {
      refresh(OSLO, port, 1, 2, 3, 4, 5, 6, 7, 8, 9);
    }
    assertEquals(read(), List.of(address(9), address(8), address(7), address(6)));
    StringBuilder value = new StringBuilder("malformed\noslo-a x\n");
    for (int port = 100; port < 200; port++) {
      value.append("dc-").append(port).append(" 127.0.0.1:").append(port).append('\n');
    }
    long revision = done(client.get("contacts/mesh")).revision();
    done(client.compareAndSet("contacts/mesh", revision, bytes(value.toString())));
    refresh(OSLO, 1);
    assertEquals(read().size(), MeshContactDirectory.MAX_ADDRESSES);
    assertEquals(read().get(0), address(1));
  }

  /**
   * Guards against more calls than a reader's call budget allows, also while the platform is down.
   */
  @Test
  public void refreshMakesAtMostTwoCalls() {
    refresh(OSLO, 1);
    assertEquals(platform.calls("get"), 1);
    refresh(OSLO, 1);
    assertEquals(platform.calls("get"), 2);
    long writes = done(client.get("contacts/mesh")).revision();
    refresh(OSLO, 1);
    assertEquals(done(client.get("contacts/mesh")).revision(), writes);
    platform.control("{\"down\":\"refused\"}");
    assertEquals(refresh(OSLO, 2), List.of());
  }

  /**
   * Guards against calls from nodes that are not readers, and against a reader that refreshes more
   * than once a minute.
   */
  @Test
  public void onlyReadersRefreshOncePerMinute() {
    VirtualTime time = new VirtualTime();
    List<List<InetSocketAddress>> found = new CopyOnWriteArrayList<>();
    AtomicBoolean reader = new AtomicBoolean();
    MeshContactDirectory directory = new MeshContactDirectory(client);
    SingleNodeFleet fleet = new SingleNodeFleet();
    new MeshContactRefresher(directory, fleet, reader::get, found::add, time, new Random(1))
        .start();
    time.advance(TimeUnit.MINUTES.toNanos(10));
    assertEquals(platform.control("{}").path("calls").size(), 0);
    reader.set(true);
    time.advance(TimeUnit.SECONDS.toNanos(2));
    awaitCondition(() -> found.size() == 1);
    time.advance(TimeUnit.SECONDS.toNanos(57));
    time.advance(TimeUnit.SECONDS.toNanos(60));
    awaitCondition(() -> found.size() == 2);
    assertEquals(found, List.of(List.of(), List.of(address(7))));
    assertEquals(platform.calls("get"), 2);
    assertEquals(platform.calls("put"), 1);
  }

  /** Fleet that consists of a single node. */
  private static final class SingleNodeFleet implements FleetView {
    @Override
    public NodeRecord self() {
      return new NodeRecord(
          new NodeId("n1"),
          address(7),
          new RegionId("oslo"),
          OSLO,
          1,
          NodeState.ALIVE,
          Optional.empty());
    }

    @Override
    public List<NodeRecord> nodes() {
      return List.of(self());
    }

    @Override
    public Optional<NodeRecord> node(NodeId id) {
      return Optional.empty();
    }

    @Override
    public List<NodeRecord> upstreams(ServiceId service) {
      return List.of();
    }

    @Override
    public void addListener(Consumer<NodeRecord> listener) {}
  }
}
