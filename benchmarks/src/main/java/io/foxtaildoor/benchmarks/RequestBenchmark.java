package io.foxtaildoor.benchmarks;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import io.foxtaildoor.request.admission.AdmissionQueue;
import io.foxtaildoor.request.admission.AdmissionSettings;
import io.foxtaildoor.request.admission.Completion;
import io.foxtaildoor.request.admission.Ticket;
import io.foxtaildoor.request.admission.UpstreamLimits;
import io.foxtaildoor.request.balance.AttemptResult;
import io.foxtaildoor.request.balance.BalanceSettings;
import io.foxtaildoor.request.balance.Selection;
import io.foxtaildoor.request.balance.UpstreamSelector;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import io.foxtaildoor.version.routing.Route;
import io.foxtaildoor.version.routing.RouteTable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the decisions for each request: route, upstream instance and admission. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RequestBenchmark {
  private static final ServiceId SERVICE = new ServiceId("service-0");
  private static final int SLOTS = 9;
  private static final long SERVICE_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Number of instances of the service; the system is designed for 15 on average. */
  @Param({"15", "150"})
  int instances;

  private final SplittableRandom random = new SplittableRandom(1);
  private final List<NodeRecord> candidates = new ArrayList<>();
  private final UpstreamSelector selector =
      new UpstreamSelector(
          BalanceSettings.defaults(), new RegionId("region-0"), new DataCentreId("dc-0"));
  private RouteTable routes;
  private AdmissionQueue<String> admission;
  private long nowNanos;

  /** Builds the route table, the candidate instances and the admission queue. */
  @Setup
  public void setUp() {
    Map<Digest, byte[]> parts = new HashMap<>();
    Manifest manifest = Configurations.completeManifest(1, parts);
    routes = ConfigurationSnapshot.build(manifest, parts).routes();
    for (int i = 0; i < instances; i++) {
      candidates.add(nodeRecord(i));
    }
    admission =
        new AdmissionQueue<>(
            AdmissionSettings.defaults(),
            new UpstreamLimits(SLOTS, Map.of(Rank.HIGH, 20, Rank.LOW, 5), 0, 0),
            0);
  }

  private static NodeRecord nodeRecord(int index) {
    return new NodeRecord(
        new NodeId("node-" + index),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + index),
        new RegionId("region-0"),
        new DataCentreId("dc-" + index % 4),
        1,
        NodeState.ALIVE,
        Optional.of(new UpstreamAnnouncement(SERVICE, SLOTS, 0)));
  }

  /** Finds the route of a request among those of 810 services. */
  @Benchmark
  public Optional<Route> findRoute() {
    return routes.find("service-400.mesh", "GET", "/orders/17");
  }

  /** Selects an upstream instance and reports the result of the request to the selector. */
  @Benchmark
  public Selection chooseUpstream() {
    nowNanos += SERVICE_TIME_NANOS;
    Selection selection =
        selector.choose(SERVICE, candidates, Set.of(), true, nowNanos, random).orElseThrow();
    selector.finish(
        selection, AttemptResult.ANSWERED, SERVICE_TIME_NANOS, nowNanos + SERVICE_TIME_NANOS);
    return selection;
  }

  /** Admits a request, gives it a slot and releases the slot. */
  @Benchmark
  public Ticket<String> admitAndFinish() {
    nowNanos += SERVICE_TIME_NANOS;
    admission.offer("request", Rank.NORMAL, nowNanos + DEADLINE_NANOS, nowNanos);
    Ticket<String> ticket = admission.poll(nowNanos, expired -> {}).orElseThrow();
    admission.finish(
        ticket, Completion.ANSWERED, SERVICE_TIME_NANOS, nowNanos + SERVICE_TIME_NANOS);
    return ticket;
  }
}
