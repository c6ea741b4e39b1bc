package io.foxtaildoor.standins.upstream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Announces the stand-in to the node on the same host and renews the announcement regularly. */
final class Announcer {
  /** Period of the renewal; at the node an announcement expires after 6 s. */
  private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(2);

  private static final System.Logger LOGGER = System.getLogger(Announcer.class.getName());

  private final URI uri;
  private final String announcement;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(RENEWAL_PERIOD).build();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(Announcer::createThread);
  private boolean withdrawn;

  Announcer(String node, String service, String address, int slots) {
    uri = URI.create("http://" + node + "/v1/upstream");
    announcement =
        JsonNodeFactory.instance
            .objectNode()
            .put("service", service)
            .put("address", address)
            .put("slots", slots)
            .toString();
  }

  private static Thread createThread(Runnable task) {
    Thread thread = new Thread(task, "announcer");
    thread.setDaemon(true);
    return thread;
  }

  void start() {
    var unused =
        executor.scheduleAtFixedRate(
            this::announce, 0, RENEWAL_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
  }

  private synchronized void announce() {
    if (!withdrawn) {
      send("PUT");
    }
  }

  /** Withdraws the announcement and stops renewing it; only the first call has an effect. */
  synchronized void withdraw() {
    if (!withdrawn) {
      withdrawn = true;
      executor.shutdown();
      send("DELETE");
    }
  }

  private void send(String method) {
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(RENEWAL_PERIOD)
            .header("content-type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(announcement))
            .build();
    try {
      int status = client.send(request, BodyHandlers.discarding()).statusCode();
      if (status >= 300) {
        LOGGER.log(
            Level.WARNING, method + " of the announcement was answered with status " + status);
      }
    } catch (IOException e) {
      LOGGER.log(Level.WARNING, method + " of the announcement failed: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
