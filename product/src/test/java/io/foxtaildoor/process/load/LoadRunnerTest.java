package io.foxtaildoor.process.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.FoxtaildoorException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link LoadRunner} against a server in the same process. */
public class LoadRunnerTest {
  private static final int REQUESTS = 60;

  private MultiThreadIoEventLoopGroup group;
  private EchoServer server;

  @BeforeClass
  public void start() {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    server = new EchoServer(group);
  }

  @AfterClass
  public void stop() {
    server.close();
    group.shutdownGracefully(0, 5, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private StreamPlan stream(String name, String path) {
    return stream(name, "127.0.0.1:" + server.port(), path);
  }

  private static StreamPlan stream(String name, String authority, String path) {
    return new StreamPlan(
        name,
        URI.create("http://" + authority + path),
        "POST",
        Map.of("content-type", "text/plain"),
        "body",
        "URGENT",
        200,
        ArrivalProcess.CONSTANT,
        Duration.ofSeconds(1),
        true);
  }

  private static LoadPlan plan(StreamPlan... streams) {
    return new LoadPlan(
        Duration.ofMillis(100), Duration.ofMillis(300), 1, 24, Set.of(), List.of(streams));
  }

  private LoadResult run(LoadPlan plan) throws Exception {
    return new LoadRunner(group, System::nanoTime).run(plan).get(60, TimeUnit.SECONDS);
  }

  /** Request paths with the expected counts. */
  @DataProvider
  public Object[][] answers() {
    return new Object[][] {
      {"/echo", 0, 0, 0, Map.of(200, 60L), Map.of(), Map.of()},
      {"/refuse", 60, 0, 0, Map.of(503, 60L), Map.of("overloaded", 60L), Map.of()},
      {"/cross", 0, 60, 0, Map.of(200, 60L), Map.of(), Map.of()},
      {"/silent", 0, 0, 60, Map.of(200, 60L), Map.of(), Map.of()},
      {"/close", 0, 0, 0, Map.of(), Map.of(), Map.of(Failure.CONNECTION_LOST, 60L)},
      {"/garbage", 0, 0, 0, Map.of(), Map.of(), Map.of(Failure.MALFORMED_ANSWER, 60L)},
    };
  }

  /**
   * Guards against responses and failures that are counted under the wrong category or not at all.
   */
  @Test(dataProvider = "answers")
  public void countsEveryRequestOnce(
      String path,
      long notRun,
      long crossed,
      long missing,
      Map<Integer, Long> statuses,
      Map<String, Long> errors,
      Map<Failure, Long> failures)
      throws Exception {
    StreamResult result = run(plan(stream("one", path))).streams().get(0);
    assertEquals(result.intended(), REQUESTS);
    assertEquals(result.notRun(), notRun);
    assertEquals(result.crossedAnswers(), crossed);
    assertEquals(result.missingEchoes(), missing);
    assertEquals(result.statuses(), statuses);
    assertEquals(result.errors(), errors);
    assertEquals(result.failures(), failures);
  }

  /** Guards against requests without a response that are missing from the result. */
  @Test
  public void hangingRequestsAreUnfinishedOrNotSent() throws Exception {
    int before = server.connections.get();
    StreamResult result = run(plan(stream("hang", "/hang"))).streams().get(0);
    long failed = result.failures().values().stream().mapToLong(Long::longValue).sum();
    assertEquals(result.answered(), 0);
    assertEquals(failed, REQUESTS);
    assertTrue(result.failures().getOrDefault(Failure.NOT_SENT, 0L) > 0, result.toString());
    // No connection closes before the run ends, so at most 24 connections are opened in total.
    assertTrue(server.connections.get() - before <= 24);
  }

  /**
   * Guards against streams that share connections, so that a stream without responses blocks
   * another.
   */
  @Test
  public void hangingStreamDoesNotBlockAnother() throws Exception {
    LoadResult result = run(plan(stream("hang", "/hang"), stream("echo", "/echo")));
    assertEquals(result.streams().get(1).answered(), REQUESTS);
  }

  /** Guards against an unreachable target that blocks the run. */
  @Test
  public void unreachableTargetCountsAsConnectFailed() throws Exception {
    EchoServer closed = new EchoServer(group);
    closed.close();
    StreamPlan dead = stream("dead", "127.0.0.1:" + closed.port(), "/echo");
    StreamResult result = run(plan(dead)).streams().get(0);
    assertEquals(result.failures(), Map.of(Failure.CONNECT_FAILED, (long) REQUESTS));
  }

  /** Guards against load that is sent to machines of other users. */
  @Test
  public void refusesTargetsOutsideLoopback() {
    LoadRunner runner = new LoadRunner(group, System::nanoTime);
    LoadPlan plan = plan(stream("far", "192.0.2.1:80", "/"));
    assertThrows(FoxtaildoorException.class, () -> runner.run(plan).join());
  }

  /**
   * Guards against arrival times that differ between runs with the same seed or that do not match
   * the rate.
   */
  @Test
  public void poissonArrivalsAreRepeatableAndKeepTheRate() {
    ArrivalTimes one = new ArrivalTimes(ArrivalProcess.POISSON, 1_000, new SplittableRandom(4));
    ArrivalTimes two = new ArrivalTimes(ArrivalProcess.POISSON, 1_000, new SplittableRandom(4));
    long last = 0;
    for (int i = 0; i < 10_000; i++) {
      last = one.take();
      assertEquals(two.take(), last);
    }
    assertEquals(last / 1e10, 1, 0.05);
  }

  /**
   * Guards against a comparison that confuses candidate and baseline, and against malformed
   * reports.
   */
  @Test
  public void comparesWithBaselineAndRenders() throws Exception {
    LoadPlan candidate = plan(stream("a<b", "/echo"));
    LoadPlan baseline = plan(stream("a<b", "/refuse"));
    LoadReport report =
        new LoadComparison(new LoadRunner(group, System::nanoTime))
            .run("title", candidate, baseline, 2)
            .get(60, TimeUnit.SECONDS);
    assertEquals(report.runs().size(), 2);
    for (int i = 0; i < 2; i++) {
      assertEquals(report.runs().get(i).streams().get(0).notRun(), 0);
      assertEquals(report.baselines().get(i).streams().get(0).notRun(), REQUESTS);
    }
    assertTrue(Double.isNaN(report.ratios().get(0).inTimeShare()));
    assertTrue(ReportFormat.text().render(report).contains("overloaded=60"));
    assertTrue(ReportFormat.json().render(report).contains("\"notRun\" : 60"));
    String svg = ReportFormat.svg().render(report);
    assertTrue(svg.contains("a&lt;b (URGENT)") && !svg.contains("a<b"), svg);
  }
}
