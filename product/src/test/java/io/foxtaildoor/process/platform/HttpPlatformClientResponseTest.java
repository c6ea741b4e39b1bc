package io.foxtaildoor.process.platform;

import static io.foxtaildoor.process.platform.HttpPlatformClientTest.HIGH_RATE;
import static io.foxtaildoor.process.platform.HttpPlatformClientTest.NO_BACKOFF;
import static io.foxtaildoor.process.platform.HttpPlatformClientTest.await;
import static io.foxtaildoor.process.platform.HttpPlatformClientTest.done;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link HttpPlatformClient} with malformed, late and incomplete responses. */
public class HttpPlatformClientResponseTest {
  private static final String GOOD = "{\"key\":\"k\",\"revision\":1,\"value\":\"\"}";

  private EventLoopGroup group;
  private ServerSocket server;
  private HttpPlatformClient client;
  private final Queue<Exchange> scriptedExchanges = new ConcurrentLinkedQueue<>();

  /** Responds to one request on a connection. */
  private interface Exchange {
    void respond(Socket socket) throws IOException;
  }

  @BeforeMethod
  public void start() throws IOException {
    scriptedExchanges.clear();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    inBackground(this::accept);
    var address = (InetSocketAddress) server.getLocalSocketAddress();
    List<URI> uris = List.of(HttpPlatformClientTest.uri(address));
    client =
        HttpPlatformClientTest.client(group, uris, Duration.ofSeconds(2), HIGH_RATE, NO_BACKOFF);
  }

  private static void inBackground(Runnable task) {
    Thread thread = new Thread(task, "server");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterMethod
  public void stop() throws IOException {
    client.close();
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        inBackground(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Responds to requests without a body until the client closes the connection. */
  private void serve(Socket socket) {
    try (socket) {
      var charset = StandardCharsets.US_ASCII;
      var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), charset));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.isEmpty()) {
          scriptedExchanges.remove().respond(socket);
        }
      }
    } catch (IOException e) {
      assertTrue(socket.isClosed());
    }
  }

  private static Exchange respondWith(String text) {
    return socket -> socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static Exchange respondAndClose(String text) {
    return socket -> {
      respondWith(text).respond(socket);
      socket.close();
    };
  }

  private static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /**
   * Guards against calls that wait on one silent connection after the other: when one connection
   * goes silent, the idle ones to the same endpoint usually have done so too.
   */
  @Test
  public void idleConnectionsAreReplacedAfterTimeout() {
    CountDownLatch bothOpen = new CountDownLatch(2);
    Set<Socket> silent = ConcurrentHashMap.newKeySet();
    Exchange open =
        socket -> {
          silent.add(socket);
          bothOpen.countDown();
          awaitQuietly(bothOpen);
          respondWith(ok(GOOD)).respond(socket);
        };
    Exchange respondUnlessSilent =
        socket -> {
          if (!silent.contains(socket)) {
            respondWith(ok(GOOD)).respond(socket);
          }
        };
    scriptedExchanges.addAll(List.of(open, open, respondUnlessSilent, respondUnlessSilent));
    var first = client.get("k");
    var second = client.get("k");
    done(first);
    done(second);
    assertTrue(await(client.get("k")) instanceof PlatformResult.Unavailable);
    done(client.get("k"));
  }

  private static void awaitQuietly(CountDownLatch latch) throws IOException {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @DataProvider
  Object[][] malformed() {
    return new Object[][] {
      {respondAndClose("")},
      {respondAndClose("HTTP/1.1 200 OK\r\nContent-Le")},
      {respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"key\":\"k\",")},
      {respondAndClose("\u0001\u0002 not HTTP at all\r\n\r\n")},
      {respondWith(ok("{\"key\":\"k\",\"revision\":"))},
      {respondWith(ok("[]"))},
      {respondWith(ok("{\"key\":\"other\",\"revision\":1,\"value\":\"\"}"))},
      {respondWith(ok("{\"key\":\"k\",\"revision\":\"x\",\"value\":\"\"}"))},
      {respondWith(ok("{\"key\":\"k\",\"revision\":1,\"value\":\"?\"}"))},
      {respondWith("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")},
      {respondWith("HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n")},
      {(Exchange) Socket::shutdownOutput},
    };
  }

  /**
   * Guards against a shutdown that hangs because the event loop terminates before the connections
   * are closed.
   */
  @Test
  public void closeWaitsUntilConnectionsAreClosed() throws Exception {
    scriptedExchanges.add(respondWith(ok(GOOD)));
    assertEquals(done(client.get("k")).revision(), 1);
    CompletableFuture<Void> released = new CompletableFuture<>();
    group.execute(released::join);
    CompletableFuture<Void> closing = CompletableFuture.runAsync(client::close);
    try {
      assertThrows(TimeoutException.class, () -> closing.get(100, TimeUnit.MILLISECONDS));
    } finally {
      released.complete(null);
    }
    closing.get(1, TimeUnit.MINUTES);
  }

  /** Guards against taking a truncated or corrupt response for a result. */
  @Test(dataProvider = "malformed")
  public void malformedResponseLeavesWriteOutcomeUnknown(Object exchange) {
    scriptedExchanges.add((Exchange) exchange);
    var read = await(client.get("k"));
    assertTrue(read instanceof PlatformResult.Unavailable, read.toString());
    scriptedExchanges.clear();
    scriptedExchanges.add((Exchange) exchange);
    var write = await(client.compareAndDelete("k", 1));
    assertTrue(write instanceof PlatformResult.OutcomeUnknown, write.toString());
  }

  /** Guards against delivering the late response to one call as the result of the next call. */
  @Test
  public void lateResponseIsNotDeliveredToTheNextCall() {
    String late = "{\"key\":\"k\",\"revision\":99,\"value\":\"\"}";
    CompletableFuture<Void> release = new CompletableFuture<>();
    scriptedExchanges.add(
        socket -> {
          release.join();
          respondWith(ok(late)).respond(socket);
        });
    assertTrue(await(client.get("k")) instanceof PlatformResult.Unavailable);
    release.complete(null);
    scriptedExchanges.add(respondWith(ok(GOOD)));
    assertEquals(done(client.get("k")).revision(), 1);
  }

  /** Guards against delivering an unsolicited response as the result of the next call. */
  @Test
  public void unsolicitedResponseIsNotDeliveredToTheNextCall() {
    String extra = "{\"key\":\"k\",\"revision\":99,\"value\":\"\"}";
    scriptedExchanges.add(respondWith(ok(GOOD) + ok(extra)));
    assertEquals(done(client.get("k")).revision(), 1);
    scriptedExchanges.add(respondWith(ok(GOOD)));
    PlatformResult<PlatformEntry> next = await(client.get("k"));
    boolean mixedUp =
        next instanceof PlatformResult.Done<PlatformEntry> d && d.value().revision() == 99;
    assertEquals(mixedUp, false);
  }

  @DataProvider
  public Object[][] startsOfResponses() {
    return new Object[][] {{"HTTP/1.1 200 "}, {"HTTP/1.1 200 OK\r\nX-A: "}, {"\r\n"}};
  }

  /** Guards against a status that is joined from bytes after a response and the next response. */
  @Test(dataProvider = "startsOfResponses")
  public void bytesAfterResponseAreNoPartOfTheNext(String start) {
    scriptedExchanges.add(respondWith(ok(GOOD) + start));
    assertEquals(done(client.get("k")).revision(), 1);
    scriptedExchanges.add(respondWith(ok(GOOD).replace("200 OK", "404 Not Found")));
    PlatformResult<PlatformEntry> next = await(client.get("k"));
    assertTrue(next instanceof PlatformResult.Unavailable, String.valueOf(next));
  }

  /** Guards against a client that keeps using an idle connection that the platform has closed. */
  @Test
  public void connectionClosedWhileIdleIsReplaced() {
    scriptedExchanges.add(respondAndClose(ok(GOOD)));
    done(client.get("k"));
    PlatformResult<PlatformEntry> next = null;
    for (int i = 0; i < 3 && !(next instanceof PlatformResult.Done); i++) {
      scriptedExchanges.clear();
      scriptedExchanges.add(respondWith(ok(GOOD)));
      next = await(client.get("k"));
    }
    assertTrue(next instanceof PlatformResult.Done, String.valueOf(next));
  }
}
