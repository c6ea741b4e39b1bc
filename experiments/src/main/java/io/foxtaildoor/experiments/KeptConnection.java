package io.foxtaildoor.experiments;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

/**
 * A caller's connection that is kept open. It sends one request at a time, with the headers that
 * callers of the managed platform send.
 */
final class KeptConnection implements AutoCloseable {
  private static final String HOST = "bookings.example";
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int OK = 200;
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final String LENGTH_HEADER = "content-length:";

  private final Socket socket;
  private final InputStream input;
  private int sentCount;

  KeptConnection(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    input = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends requests until one is answered with status 200. */
  void awaitServed(String path) {
    Pause.until(
        "a response with status 200",
        READY_TIMEOUT,
        () -> {
          try {
            return exchange(path) == OK;
          } catch (IOException e) {
            throw new IllegalStateException("the connection failed", e);
          }
        });
  }

  /**
   * Sends a request and reads its response.
   *
   * @throws IllegalStateException when the status is not 200
   */
  void send(String path) throws IOException {
    int status = exchange(path);
    if (status != OK) {
      throw new IllegalStateException("a request was answered with status " + status);
    }
  }

  private int exchange(String path) throws IOException {
    sentCount++;
    String request =
        "GET %s HTTP/1.1\r\nHost: %s\r\nX-Foxtaildoor-Request-Id: %016x\r\n"
            .formatted(path, HOST, sentCount);
    byte[] bytes =
        (request + "X-Foxtaildoor-Deadline-Ms: 1200\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    socket.getOutputStream().write(bytes);
    int status = Integer.parseInt(readLine().split(" ", 3)[1]);
    int length = 0;
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH_HEADER)) {
        length = Integer.parseInt(line.substring(LENGTH_HEADER.length()).strip());
      }
    }
    input.readNBytes(length);
    return status;
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = input.read(); c != '\n'; c = input.read()) {
      if (c < 0) {
        throw new IOException("the node closed the connection");
      }
      line.append((char) c);
    }
    return line.toString().strip();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
