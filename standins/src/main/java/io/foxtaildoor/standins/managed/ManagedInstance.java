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

/** Stand-in for an upstream instance of the managed platform: signed answers and heartbeats. */
public final class ManagedInstance extends HttpStandIn {
  private static final String REQUEST_ID = "X-Foxtaildoor-Request-Id";
  private static final Duration CALL_LIMIT = Duration.ofSeconds(1);
  private static final int MISDIRECTED = 421;

  private final String id;
  private final String service;
  private final int capacity;
  private final long startedMillis = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CALL_LIMIT).build();
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private volatile boolean leaving;

  private ManagedInstance(String id, String service, int capacity) {
    this.id = id;
    this.service = service;
    this.capacity = capacity;
  }

  /** Starts an instance that has not reported itself yet. */
  public static ManagedInstance start(
      InetSocketAddress address, String id, String service, int capacity) {
    ManagedInstance instance = new ManagedInstance(id, service, capacity);
    instance.bind(address);
    return instance;
  }

  /** Ids of the requests that ran, in their order. */
  public List<String> runs() {
    return List.copyOf(runs);
  }

  @Override
  void serve(Channel channel, FullHttpRequest request) {
    HttpHeaders headers = request.headers();
    String target = headers.get("X-Foxtaildoor-Target-Instance", id);
    FullHttpResponse response;
    if (!target.equals(id)) {
      response = response(MISDIRECTED, new byte[0]);
    } else {
      String requestId = headers.get(REQUEST_ID, "");
      runs.add(requestId);
      response = response(200, request.uri().getBytes(StandardCharsets.UTF_8));
      response.headers().set(REQUEST_ID, requestId);
      response.headers().set("X-Foxtaildoor-Server-Signature", id + "." + requestId);
    }
    response.headers().set("X-Foxtaildoor-Instance-Id", id);
    answer(channel, response);
  }

  /** Reports the instance to the node at an address; gives the status of the answer. */
  public int report(String node, boolean drains) throws IOException {
    leaving |= drains;
    String document =
        String.format(
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"version\":\"v1\","
                + "\"capacity\":%d,\"state\":\"%s\",\"warmup_left\":\"0ms\",\"sequence\":%d,"
                + "\"born\":%d}",
            service,
            address().getPort(),
            capacity,
            leaving ? "draining" : "ready",
            sequence.incrementAndGet(),
            startedMillis);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node + "/instances/" + id))
            .timeout(CALL_LIMIT)
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

  private void reportRegularly(String node, long periodMillis) {
    var unused =
        loop()
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
      System.err.println("the report to " + node + " failed: " + e.getMessage());
    }
  }

  /** Command line. */
  private static final class Options {
    @Option(name = "--port", usage = "port to listen on; 0 chooses a free one")
    private int port;

    @Option(name = "--port-file", usage = "file that receives the port")
    private Path portFile;

    @Option(name = "--service", usage = "service of the instance")
    private String service = "bookings";

    @Option(name = "--slots", usage = "requests served at a time")
    private int slots = 9;

    @Option(name = "--reports", usage = "HOST:PORT of the node's listener for reports")
    private String reports;

    @Option(name = "--period", usage = "milliseconds between two reports")
    private long periodMillis = 1_500;
  }

  /** Runs an instance until SIGTERM. */
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
      instance.reportRegularly(options.reports, options.periodMillis);
    }
  }
}
