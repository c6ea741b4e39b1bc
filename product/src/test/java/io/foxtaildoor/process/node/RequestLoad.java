package io.foxtaildoor.process.node;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends a steady mix of requests through some nodes. Each request has its own id, and its result is
 * recorded.
 */
final class RequestLoad implements AutoCloseable {
  private static final int THREADS = 4;
  private static final int MAX_REQUESTS_PER_THREAD = 3_000;
  private static final long PAUSE_BETWEEN_REQUESTS_MILLIS = 15;
  private static final AtomicInteger NEXT_ID = new AtomicInteger();

  /**
   * The result of one request; the status is 0 when the connection to the node failed.
   *
   * @param echoHeaderMatches whether the response header returns the id of the request
   * @param fullyEchoed whether the response header and body both return the id, as they do for each
   *     request that the upstream executed
   */
  record Result(
      String id,
      MeshNode node,
      boolean idempotent,
      int status,
      String kind,
      String outcome,
      boolean echoHeaderMatches,
      boolean fullyEchoed) {}

  private final List<MeshNode> callers;
  private final Queue<Result> results = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopping;

  private RequestLoad(List<MeshNode> callers) {
    this.callers = callers;
  }

  static RequestLoad start(List<MeshNode> callers) {
    RequestLoad load = new RequestLoad(List.copyOf(callers));
    for (int i = 0; i < THREADS; i++) {
      int seed = i;
      Thread thread = new Thread(() -> load.sendRequests(seed), "load-" + i);
      thread.setDaemon(true);
      load.threads.add(thread);
      thread.start();
    }
    return load;
  }

  private void sendRequests(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < MAX_REQUESTS_PER_THREAD && !stopping; i++) {
      MeshNode node = callers.get(random.nextInt(callers.size()));
      String service = random.nextBoolean() ? "bookings" : "inventory";
      results.add(
          switch (random.nextInt(4)) {
            case 0 -> send(node, service, "GET", "/read", false);
            case 1 -> send(node, service, "GET", "/scan", false);
            case 2 -> send(node, service, "POST", "/write", false);
            default -> send(node, service, "POST", "/write", true);
          });
      Polling.pause(PAUSE_BETWEEN_REQUESTS_MILLIS);
    }
  }

  /** Sends one request with a new id. */
  static Result send(MeshNode node, String service, String method, String path, boolean keyed) {
    String id = "request-" + NEXT_ID.incrementAndGet();
    return send(node, service, method, path, keyed ? id : "", id);
  }

  /** Sends one request with the given id, and with an idempotency key unless the key is empty. */
  static Result send(
      MeshNode node, String service, String method, String path, String key, String id) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Host", service + ".pamoja");
    headers.put("x-echo-id", id);
    if (!key.isEmpty()) {
      headers.put("Idempotency-Key", key);
    }
    boolean idempotent = method.equals("GET");
    try {
      HttpResponse<String> response =
          LoopbackHttp.send(
              method, node.callerPort(), path, headers, idempotent ? "" : "body-" + id);
      String echo = response.headers().firstValue("x-echo-id").orElse("");
      return new Result(
          id,
          node,
          idempotent,
          response.statusCode(),
          response.headers().firstValue("foxtaildoor-error").orElse(""),
          response.headers().firstValue("foxtaildoor-outcome").orElse(""),
          echo.equals(id),
          echo.equals(id) && response.body().contains("\"echoId\":\"" + id + "\""));
    } catch (IOException e) {
      return new Result(id, node, idempotent, 0, e.toString(), "", false, false);
    }
  }

  /** Returns whether both services respond through a node. */
  static boolean isServed(MeshNode node) {
    return send(node, "bookings", "GET", "/read", false).status() == 200
        && send(node, "inventory", "GET", "/read", false).status() == 200;
  }

  /** Waits until the given number of further requests has been answered with status 200. */
  void awaitAnswers(int count) {
    long target = answered() + count;
    Polling.await(count + " more responses with status 200", () -> answered() >= target);
  }

  private long answered() {
    return results.stream().filter(result -> result.status() == 200).count();
  }

  /** Ends the load and returns all results. */
  List<Result> finish() {
    close();
    return List.copyOf(results);
  }

  @Override
  public void close() {
    stopping = true;
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException("interrupted", e);
      }
    }
  }
}
