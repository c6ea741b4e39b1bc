package io.foxtaildoor.process.node;

import io.foxtaildoor.process.node.ManagedMesh.ManagedNode;
import io.foxtaildoor.standins.managed.ManagedInstance;
import io.foxtaildoor.standins.managed.Stutter;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A caller that sends requests to a node on one kept connection, each id several times in a row.
 */
final class RepeatingCaller {
  private static final int STUTTER_PERCENT = 60;
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private final String name;
  private final ManagedNode node;
  private final Plan plan;
  private final SplittableRandom random;
  private final List<Answer> answers = new ArrayList<>();
  private Socket socket;
  private InputStream in;

  /**
   * What a caller sends.
   *
   * @param stutter requested for a share of the requests
   * @param ids number of different request ids
   * @param attemptsPerId number of times that each id is sent
   * @param pauseMillis pause after each answer
   */
  record Plan(Stutter stutter, int ids, int attemptsPerId, int pauseMillis) {}

  /**
   * The answer to one attempt; the status is 0 if the connection ended before the answer.
   *
   * @param signature empty if the answer is not signed
   */
  record Answer(
      ManagedNode node, String attempt, String path, int status, String signature, String body) {
    boolean isSuccess() {
      return status / 100 == 2;
    }
  }

  RepeatingCaller(String name, ManagedNode node, Plan plan, long seed) {
    this.name = name;
    this.node = node;
    this.plan = plan;
    this.random = new SplittableRandom(seed);
  }

  /** Sends all requests and returns one answer for each attempt. */
  List<Answer> call() {
    try {
      for (int i = 0; i < plan.ids(); i++) {
        String id = name + "-" + i;
        for (int j = 0; j < plan.attemptsPerId(); j++) {
          answers.add(attempt(id, id + "/" + j));
          Polling.pause(plan.pauseMillis());
        }
      }
      closeConnection();
    } catch (IOException e) {
      throw new AssertionError("cannot connect to a node", e);
    }
    return answers;
  }

  private Answer attempt(String id, String attempt) throws IOException {
    if (socket == null) {
      socket = new Socket(InetAddress.getLoopbackAddress(), node.callerPort());
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }
    String path = "/lookup/" + id;
    Stutter stutter = random.nextInt(100) < STUTTER_PERCENT ? plan.stutter() : Stutter.NONE;
    String request =
        "GET %s HTTP/1.1\r\nHost: %s\r\nX-Foxtaildoor-Request-Id: %s\r\n%s: %s\r\n%s: %s\r\n\r\n"
            .formatted(
                path,
                ManagedMesh.HOST,
                id,
                ManagedInstance.ATTEMPT,
                attempt,
                ManagedInstance.STUTTER,
                stutter);
    try {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return read(attempt, path);
    } catch (IOException e) {
      closeConnection();
      return new Answer(node, attempt, path, 0, "", e.toString());
    }
  }

  private void closeConnection() throws IOException {
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }

  private Answer read(String attempt, String path) throws IOException {
    int status = Integer.parseInt(readLine().split(" ", 3)[1]);
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    String length = headers.get("content-length");
    if (length == null) {
      throw new IOException("the answer has no length: " + headers);
    }
    byte[] body = in.readNBytes(Integer.parseInt(length));
    if (body.length < Integer.parseInt(length)) {
      throw new IOException("the connection ended within the body");
    }
    if (headers.getOrDefault("connection", "").equalsIgnoreCase("close")) {
      closeConnection();
    }
    return new Answer(
        node,
        attempt,
        path,
        status,
        headers.getOrDefault("x-foxtaildoor-server-signature", ""),
        new String(body, StandardCharsets.US_ASCII));
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("the connection ended before the response");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.US_ASCII).strip();
  }
}
