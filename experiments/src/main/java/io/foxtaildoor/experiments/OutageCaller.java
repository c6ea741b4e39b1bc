package io.foxtaildoor.experiments;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A caller on the host of one node. It sends one request after another, each on a new connection,
 * with a short pause between them.
 */
final class OutageCaller implements AutoCloseable {
  private static final String HOST = "bookings.example";
  private static final String SIGNATURE_HEADER = "x-foxtaildoor-server-signature: ";
  private static final int DEADLINE_MILLIS = 1_500;
  private static final int READ_TIMEOUT_MILLIS = 3_000;
  private static final long PAUSE_MILLIS = 30;

  /** Outcome of a request on a connection that the node did not accept. */
  static final int NOT_CONNECTED = 0;

  /** Outcome of a request whose connection ended or stayed silent without an answer. */
  static final int NO_ANSWER = -1;

  private final String name;
  private final int port;
  private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
  private final Thread thread = new Thread(this::run, "caller");
  private volatile boolean stopped;

  /**
   * One request.
   *
   * @param status status of the answer, {@link #NOT_CONNECTED} or {@link #NO_ANSWER}
   * @param server id of the instance that signed the answer; empty when none did
   */
  record Call(String requestId, long sentNanos, long endNanos, int status, String server) {}

  OutageCaller(String name, int port) {
    this.name = name;
    this.port = port;
  }

  void start() {
    thread.start();
  }

  /** Returns the requests that have ended. */
  List<Call> calls() {
    return List.copyOf(calls);
  }

  private void run() {
    for (int number = 0; !stopped; number++) {
      calls.add(send(name + "-" + number));
      Pause.millis(PAUSE_MILLIS);
    }
  }

  private Call send(String requestId) {
    long sentNanos = System.nanoTime();
    String answer = "";
    int status = NO_ANSWER;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String request =
          "POST /book/1 HTTP/1.1\r\nHost: %s\r\nX-Foxtaildoor-Request-Id: %s\r\n"
                  .formatted(HOST, requestId)
              + "X-Foxtaildoor-Deadline-Ms: %d\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
                  .formatted(DEADLINE_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      status = answer.isEmpty() ? NO_ANSWER : Integer.parseInt(answer.split(" ", 3)[1]);
    } catch (ConnectException e) {
      status = NOT_CONNECTED;
    } catch (IOException e) {
      status = NO_ANSWER;
    }
    return new Call(requestId, sentNanos, System.nanoTime(), status, server(answer, requestId));
  }

  private static String server(String answer, String requestId) {
    return answer
        .lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(SIGNATURE_HEADER))
        .map(line -> line.substring(SIGNATURE_HEADER.length()).replace("." + requestId, ""))
        .findFirst()
        .orElse("");
  }

  /** Stops after the request in progress. */
  @Override
  public void close() {
    stopped = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
