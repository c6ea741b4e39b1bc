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
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.kohsuke.args4j.Option;

/**
 * Stand-in for an upstream instance of the managed platform. It signs its answers and reports
 * itself to a node at regular intervals.
 */
public final class ManagedInstance extends HttpStandIn {
  private static final String REQUEST_ID = "X-Foxtaildoor-Request-Id";

  /** Request header that states how many milliseconds the instance takes for the request. */
  public static final String WORK_MILLIS = "X-Work-Millis";

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int MISDIRECTED_REQUEST = 421;

  private final String id;
  private final String service;
  private final int capacity;
  private final long startedMillis = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
  private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();
  private volatile boolean draining;

  private ManagedInstance(String id, String service, int capacity) {
    this.id = id;
    this.service = service;
    this.capacity = capacity;
  }

  /** Starts an instance, which does not report itself to a node until {@link #report} is called. */
  public static ManagedInstance start(
      InetSocketAddress address, String id, String service, int capacity) {
    ManagedInstance instance = new ManagedInstance(id, service, capacity);
    instance.bind(address);
    return instance;
  }

  /** Returns the ids of the executed requests, in the order of execution. */
  public List<String> executedRequestIds() {
    return List.copyOf(executedRequestIds);
  }

  @Override
  void serve(Channel channel, FullHttpRequest request) {
    HttpHeaders headers = request.headers();
    String target = headers.get("X-Foxtaildoor-Target-Instance", id);
    String requestId = headers.get(REQUEST_ID, "");
    FullHttpResponse response;
    if (!target.equals(id)) {
      response = response(MISDIRECTED_REQUEST, new byte[0]);
    } else {
      executedRequestIds.add(requestId);
      response = response(200, request.uri().getBytes(StandardCharsets.UTF_8));
      response.headers().set("X-Foxtaildoor-Server-Signature", id + "." + requestId);
    }
    response.headers().set(REQUEST_ID, requestId);
    response.headers().set("X-Foxtaildoor-Instance-Id", id);
    var unused =
        eventLoop()
            .schedule(
                () -> answer(channel, response),
                headers.getInt(WORK_MILLIS, 0),
                TimeUnit.MILLISECONDS);
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
  }

  /** Starts an instance and its reports; it runs until SIGTERM. */
  public static void main(String[] args) throws IOException {
    Options options = StandInProcess.parse(new Options(), args);
    ManagedInstance instance =
        start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port),
            "i-" + Long.toHexString(System.nanoTime()),
            options.service,
            options.slots);
    StandInProcess.stopOnSignal(instance::close);
    StandInProcess.writePortFile(options.portFile, Integer.toString(instance.address().getPort()));
    if (options.reports != null) {
      instance.startReports(options.reports, options.periodMillis);
    }
  }
}
