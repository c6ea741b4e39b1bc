package io.foxtaildoor.standins.managed;

import io.foxtaildoor.standins.StandInProcess;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.kohsuke.args4j.Option;

/**
 * Stand-in for an upstream instance of the managed platform. It signs its answers and reports
 * itself to a node at regular intervals.
 */
public final class ManagedInstance extends HttpStandIn {
  static final String REQUEST_ID = "X-Foxtaildoor-Request-Id";
  static final String SIGNATURE = "X-Foxtaildoor-Server-Signature";

  /** Request header that states how many milliseconds the instance takes for the request. */
  public static final String WORK_MILLIS = "X-Work-Millis";

  /** Request header that names the {@link Stutter} of the answer. */
  public static final String STUTTER = "X-Stutter";

  /** Request header that names the attempt of a client, which the list of runs repeats. */
  public static final String ATTEMPT = "X-Attempt";

  /**
   * Path of the list of runs, which the instance serves itself. Each line holds the signature, the
   * status of the first answer and the attempt.
   */
  public static final String RUNS_PATH = "/runs";

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int PERCENT = 100;

  private final String id;
  private final String service;
  private final int capacity;
  private final long startedMillis = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
  private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();
  private final List<String> runs = new ArrayList<>();
  private final int failurePercent;
  private final SplittableRandom random;
  private long runCount;
  private volatile boolean draining;

  private ManagedInstance(String id, String service, int capacity, int failurePercent, long seed) {
    this.id = id;
    this.service = service;
    this.capacity = capacity;
    this.failurePercent = failurePercent;
    this.random = new SplittableRandom(seed);
  }

  /** Starts an instance, which does not report itself to a node until {@link #report} is called. */
  public static ManagedInstance start(
      InetSocketAddress address, String id, String service, int capacity) {
    return start(address, id, service, capacity, 0, 0);
  }

  /**
   * Starts an instance that answers a share of the requests with status 500.
   *
   * @param failurePercent percentage of the requests that fail
   * @param seed seed of the choice of the requests that fail
   */
  static ManagedInstance start(
      InetSocketAddress address,
      String id,
      String service,
      int capacity,
      int failurePercent,
      long seed) {
    ManagedInstance instance = new ManagedInstance(id, service, capacity, failurePercent, seed);
    instance.bind(address);
    return instance;
  }

  /** Returns the ids of the executed requests, in the order of execution. */
  public List<String> executedRequestIds() {
    return List.copyOf(executedRequestIds);
  }

  @Override
  void serve(Channel channel, FullHttpRequest request) {
    if (request.uri().equals(RUNS_PATH)) {
      answer(channel, response(200, String.join("\n", runs).getBytes(StandardCharsets.UTF_8)));
      return;
    }
    HttpHeaders headers = request.headers();
    String target = headers.get("X-Foxtaildoor-Target-Instance", id);
    boolean misdirected = !target.equals(id);
    FullHttpResponse response =
        misdirected ? response(MISDIRECTED_REQUEST, new byte[0]) : run(request);
    response.headers().set(REQUEST_ID, headers.get(REQUEST_ID, ""));
    response.headers().set("X-Foxtaildoor-Instance-Id", id);
    Stutter stutter =
        misdirected ? Stutter.NONE : Stutter.valueOf(headers.get(STUTTER, Stutter.NONE.name()));
    var unused =
        eventLoop()
            .schedule(
                () -> StutteringAnswers.write(channel, response, stutter),
                headers.getInt(WORK_MILLIS, 0),
                TimeUnit.MILLISECONDS);
  }

  /** Runs a request and returns its signed answer; the signature ends with the run's number. */
  private FullHttpResponse run(FullHttpRequest request) {
    String requestId = request.headers().get(REQUEST_ID, "");
    executedRequestIds.add(requestId);
    runCount++;
    boolean fails = random.nextInt(PERCENT) < failurePercent;
    byte[] body = fails ? new byte[0] : request.uri().getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response = response(fails ? 500 : 200, body);
    String signature = id + "." + requestId + "." + runCount;
    response.headers().set(SIGNATURE, signature);
    String attempt = request.headers().get(ATTEMPT);
    if (attempt != null) {
      runs.add(signature + " " + response.status().code() + " " + attempt);
    }
    return response;
  }

  /**
   * Reports the instance to a node.
   *
   * @param node HOST:PORT of the node's listener for reports
   * @param startsDraining whether the instance drains from now on; it stays so in later reports
   * @return status code of the answer
   */
  public int report(String node, boolean startsDraining) throws IOException {
    draining |= startsDraining;
    String document =
        String.format(
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"version\":\"v1\","
                + "\"capacity\":%d,\"state\":\"%s\",\"warmup_left\":\"0ms\",\"sequence\":%d,"
                + "\"born\":%d}",
            service,
            address().getPort(),
            capacity,
            draining ? "draining" : "ready",
            sequence.incrementAndGet(),
            startedMillis);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node + "/instances/" + id))
            .timeout(CALL_TIMEOUT)
            .header("content-type", "application/json")
            .PUT(HttpRequest.BodyPublishers.ofString(document))
            .build();
    try {
      return client.send(request, BodyHandlers.discarding()).statusCode();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private void startReports(String node, long periodMillis) {
    var unused =
        eventLoop()
            .scheduleAtFixedRate(
                () -> new Thread(() -> reportOnce(node), "report").start(),
                0,
                periodMillis,
                TimeUnit.MILLISECONDS);
  }

  private void reportOnce(String node) {
    try {
      report(node, false);
    } catch (IOException e) {
      System.err.println("reporting the instance to " + node + " failed: " + e.getMessage());
    }
  }

  /** Command-line options of the instance. */
  private static final class Options {
    @Option(name = "--port", usage = "port to listen on; 0 chooses a free one")
    private int port;

    @Option(name = "--port-file", usage = "file to which the port is written")
    private Path portFile;

    @Option(name = "--service", usage = "name of the service that the instance serves")
    private String service = "bookings";

    @Option(name = "--slots", usage = "capacity that the instance reports, in concurrent requests")
    private int slots = 9;

    @Option(name = "--reports", usage = "HOST:PORT of the node's listener for reports")
    private String reports;

    @Option(name = "--period", usage = "interval between two reports in milliseconds")
    private long periodMillis = 1_500;

    @Option(name = "--failure-percent", usage = "percentage of requests answered with status 500")
    private int failurePercent;

    @Option(name = "--seed", usage = "seed of the choice of the requests that fail")
    private long seed = 1;
  }

  /** Starts an instance and its reports; it runs until SIGTERM. */
  public static void main(String[] args) throws IOException {
    Options options = StandInProcess.parse(new Options(), args);
    ManagedInstance instance =
        start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port),
            "i-" + Long.toHexString(System.nanoTime()),
            options.service,
            options.slots,
            options.failurePercent,
            options.seed);
    StandInProcess.stopOnSignal(instance::close);
    StandInProcess.writePortFile(options.portFile, Integer.toString(instance.address().getPort()));
    if (options.reports != null) {
      instance.startReports(options.reports, options.periodMillis);
    }
  }
}
