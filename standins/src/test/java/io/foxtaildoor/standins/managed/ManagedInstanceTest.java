package io.foxtaildoor.standins.managed;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests of the answers of {@link ManagedInstance} on one connection. */
public class ManagedInstanceTest {
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private ManagedInstance instance;
  private Socket socket;
  private BufferedReader in;

  private void start(int failurePercent) throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    instance =
        ManagedInstance.start(
            new InetSocketAddress(loopback, 0), "i-1", "bookings", 9, failurePercent, 1);
    socket = new Socket(loopback, instance.address().getPort());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    socket.close();
    instance.close();
  }

  private void send(String path, Stutter stutter) throws IOException {
    String request =
        "GET %s HTTP/1.1\r\nHost: bookings\r\n%s: id\r\n%s: attempt\r\n%s: %s\r\n\r\n"
            .formatted(
                path,
                ManagedInstance.REQUEST_ID,
                ManagedInstance.ATTEMPT,
                ManagedInstance.STUTTER,
                stutter);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the status, the signature and the body of the next answer. */
  private String readAnswer() throws IOException {
    String status = in.readLine().split(" ", 3)[1];
    String signature = "";
    int length = 0;
    for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
      String name = line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
      String value = line.substring(line.indexOf(':') + 1).strip();
      if (name.equals("content-length")) {
        length = Integer.parseInt(value);
      } else if (name.equals(ManagedInstance.SIGNATURE.toLowerCase(Locale.ROOT))) {
        signature = value;
      }
    }
    StringBuilder body = new StringBuilder();
    while (body.length() < length) {
      body.append((char) in.read());
    }
    return (status + " " + signature + " " + body).strip();
  }

  /** Guards against tests of second answers that pass because none was written. */
  @Test
  public void secondAnswerPrecedesNextAnswer() throws IOException {
    start(0);
    send("/a", Stutter.BEFORE_NEXT_ANSWER);
    assertEquals(readAnswer(), "200 i-1.id.1 /a");
    send("/b", Stutter.NONE);
    assertEquals(readAnswer(), "200 i-1.id.1 ok");
    assertEquals(readAnswer(), "200 i-1.id.2 /b");
  }

  /** Guards against a second answer that has the status of the first one. */
  @Test
  public void secondAnswerHasOtherStatus() throws IOException {
    start(100);
    send("/a", Stutter.WITH_OTHER_STATUS);
    assertEquals(readAnswer(), "500 i-1.id.1");
    send("/b", Stutter.NONE);
    assertEquals(readAnswer(), "200 i-1.id.1 ok");
    assertEquals(readAnswer(), "500 i-1.id.2");
  }

  /** Guards against a second answer that waits for the next request. */
  @Test
  public void secondAnswerArrivesWhileIdle() throws IOException {
    start(0);
    send("/a", Stutter.WHILE_IDLE);
    assertEquals(readAnswer(), "200 i-1.id.1 /a");
    assertEquals(readAnswer(), "200 i-1.id.1 ok");
  }

  /** Guards against a list of runs that doesn't tell what the instance answered. */
  @Test
  public void runsAreListedWithStatusAndAttempt() throws IOException {
    start(100);
    send("/a", Stutter.NONE);
    assertEquals(readAnswer(), "500 i-1.id.1");
    send(ManagedInstance.RUNS_PATH, Stutter.NONE);
    assertEquals(readAnswer(), "200  i-1.id.1 500 attempt");
  }
}
