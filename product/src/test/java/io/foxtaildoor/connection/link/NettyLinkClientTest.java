package io.foxtaildoor.connection.link;

import static io.foxtaildoor.connection.link.LinkFixture.await;
import static io.foxtaildoor.connection.link.LinkFixture.requestHead;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.link.LinkFixture.RawPeer;
import io.foxtaildoor.connection.link.LinkFixture.ResponseCollector;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.GoAway;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.LinkPurpose;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link NettyLinkClient}. */
public class NettyLinkClientTest {
  private LinkFixture fixture;

  @BeforeMethod
  public void start() {
    fixture = new LinkFixture((head, response) -> new Echo(response), Map.of());
  }

  @AfterMethod
  public void stop() {
    fixture.close();
  }

  /** Sends each part of the request body back as the response body. */
  private static final class Echo implements RequestListener {
    private final ResponseStream response;

    Echo(ResponseStream response) {
      this.response = response;
      response.start(ResponseStart.newBuilder().setStatus(200).build());
    }

    @Override
    public void onBody(ByteBuf data, boolean end) {
      int size = data.readableBytes();
      response.send(data, end);
      response.consumed(size);
    }

    @Override
    public void onCancelled(String reason) {}

    @Override
    public void onWritable() {}
  }

  /**
   * Guards against responses that are delivered to another request, and against flow control
   * windows that stall a stream.
   */
  @Test
  public void concurrentStreamsReceiveTheirOwnCompleteResponses() {
    SplittableRandom random = new SplittableRandom(7);
    NettyLinkClient client = fixture.client();
    List<ResponseCollector> responses = new ArrayList<>();
    List<byte[]> bodies = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      byte[] body = new byte[random.nextInt(1, 300_000)];
      random.nextBytes(body);
      ResponseCollector response = new ResponseCollector();
      response.stream = client.open(fixture.server(), requestHead("r" + i, false), response);
      response.stream.send(Unpooled.wrappedBuffer(body), true);
      responses.add(response);
      bodies.add(body);
    }
    for (int i = 0; i < responses.size(); i++) {
      assertEquals(await(responses.get(i).completeBody), bodies.get(i), "stream " + i);
    }
    assertEquals(fixture.invariants.totalBreaches(), 0);
    client.close();
  }

  /** Guards against a missing failure, or a wrong outcome, when the node cannot be reached. */
  @Test
  public void requestToUnreachableNodeFailsAsNotRun() throws Exception {
    InetSocketAddress unusedAddress;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unusedAddress = (InetSocketAddress) socket.getLocalSocketAddress();
    }
    try (NettyLinkClient client = fixture.client()) {
      ResponseCollector response = new ResponseCollector();
      client.open(LinkFixture.node("gone", unusedAddress), requestHead("r", true), response);
      assertFailure(response, ErrorKind.NODE_UNREACHABLE, true);
    }
  }

  /** Guards against requests that run on a node which took over another node's address. */
  @Test
  public void requestToAddressOfAnotherNodeFailsAsNotRun() {
    try (NettyLinkClient client = fixture.client()) {
      ResponseCollector response = new ResponseCollector();
      client.open(LinkFixture.node("other", fixture.address), requestHead("r", true), response);
      assertFailure(response, ErrorKind.NODE_UNREACHABLE, true);
    }
  }

  private static void assertFailure(ResponseCollector response, ErrorKind kind, boolean notRun) {
    StreamFailure failure = await(response.failure);
    assertEquals(failure.getKind(), kind.name(), failure.getDetail());
    assertEquals(failure.getNotRun(), notRun);
    assertFalse(response.completeBody.isDone());
  }

  /** A fault of the other node after it has received a request head. */
  @FunctionalInterface
  private interface Fault {
    void apply(RawPeer peer) throws Exception;
  }

  private static Frame responseStart(long stream, String requestId) {
    return Frame.newBuilder()
        .setResponseStart(
            ResponseStart.newBuilder()
                .setStream(stream)
                .setStatus(200)
                .addHeaders(
                    Header.newBuilder().setName("foxtaildoor-request-id").setValue(requestId)))
        .build();
  }

  @DataProvider
  public Object[][] faults() {
    Fault reset = RawPeer::reset;
    Fault closed = RawPeer::close;
    Fault closedAfterHead =
        peer -> {
          peer.write(responseStart(1, "r"));
          peer.close();
        };
    Fault garbage = peer -> peer.writeRaw(new byte[] {0, 0, 0, 2, -1, -1});
    Fault neverOpened = peer -> peer.write(responseStart(9, "r"));
    Fault otherRequest = peer -> peer.write(responseStart(1, "other"));
    Fault secondHead =
        peer -> {
          peer.write(responseStart(1, "r"));
          peer.write(responseStart(1, "r"));
        };
    return new Object[][] {
      {"reset", reset, 0},
      {"closed", closed, 0},
      {"closed after the response head", closedAfterHead, 0},
      {"garbage", garbage, 0},
      {"response on a stream that was never opened", neverOpened, 0},
      {"response to another request", otherRequest, 1},
      {"second response head", secondHead, 0},
    };
  }

  /**
   * Guards against reporting a sent request as not run, and against accepting the response of
   * another request.
   */
  @Test(dataProvider = "faults")
  public void linkFaultAfterRequestHeadGivesUnknownOutcome(String name, Fault fault, int breaches)
      throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client = fixture.client()) {
      ResponseCollector response = new ResponseCollector();
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      client.open(LinkFixture.node("raw", address), requestHead("r", true), response);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        fault.apply(peer);
        assertFailure(response, ErrorKind.OUTCOME_UNKNOWN, false);
      }
    }
    assertEquals(fixture.invariants.breaches(Invariant.ANSWER_MATCHES_REQUEST), breaches, name);
  }

  /** Accepts a connection, completes the handshake and reads a request head. */
  private static RawPeer acceptLinkWithRequest(ServerSocket server) throws Exception {
    RawPeer peer = RawPeer.accept(server);
    assertEquals(peer.read().getHello().getExpectedNodeId(), "raw");
    peer.hello("raw", LinkPurpose.REQUESTS, "client");
    assertEquals(peer.read().getBodyCase(), Frame.BodyCase.REQUEST_START);
    return peer;
  }

  /** Guards against a late response that reaches any listener or closes the link. */
  @Test
  public void responsesToCancelledStreamsAreDropped() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client = fixture.client()) {
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      ResponseCollector first = new ResponseCollector();
      RequestStream stream =
          client.open(LinkFixture.node("raw", address), requestHead("a", true), first);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        stream.cancel("test");
        assertEquals(peer.read().getBodyCase(), Frame.BodyCase.CANCEL);
        ResponseCollector second = new ResponseCollector();
        client.open(LinkFixture.node("raw", address), requestHead("b", true), second);
        assertEquals(peer.read().getRequestStart().getStream(), 2);
        peer.write(responseStart(1, "a"));
        peer.write(responseStart(2, "b"));
        await(second.head);
        assertFalse(first.head.isDone());
        assertEquals(fixture.metrics.framesDropped(), 1);
      }
    }
  }

  /** Guards against streams that wait forever on a connection that has gone silent. */
  @Test
  public void silentLinkIsResetAndReplaced() throws Exception {
    LinkSettings quick =
        LinkFixture.SETTINGS.withPings(
            Duration.ofMillis(20), Duration.ofMillis(20), Duration.ofMillis(200));
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client = fixture.client(quick, System::nanoTime)) {
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      ResponseCollector silent = new ResponseCollector();
      client.open(LinkFixture.node("raw", address), requestHead("a", true), silent);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        assertFailure(silent, ErrorKind.OUTCOME_UNKNOWN, false);
        assertTrue(peer.isReset(), "unsent bytes must be discarded, not delivered later");
        assertTrue(await(silent.failure).getDetail().contains("ping"));
        client.open(
            LinkFixture.node("raw", address), requestHead("b", true), new ResponseCollector());
        acceptLinkWithRequest(server).close();
      }
    }
  }

  /**
   * Guards against a leaving node that loses its open streams, receives new ones or is never
   * contacted again.
   */
  @Test
  public void goAwayKeepsOpenStreamsAndRefusesNewOnes() throws Exception {
    AtomicLong clockOffsetNanos = new AtomicLong();
    LinkSettings settings =
        LinkFixture.SETTINGS.withConnectTimeoutAndBackoff(
            Duration.ofSeconds(20), Duration.ofHours(1), Duration.ofHours(1));
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client =
            fixture.client(settings, () -> System.nanoTime() + clockOffsetNanos.get())) {
      NodeRecord node = LinkFixture.node("raw", (InetSocketAddress) server.getLocalSocketAddress());
      ResponseCollector open = new ResponseCollector();
      client.open(node, requestHead("a", true), open);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        peer.write(Frame.newBuilder().setGoAway(GoAway.getDefaultInstance()).build());
        peer.write(responseStart(1, "a"));
        await(open.head);
        ResponseCollector refused = new ResponseCollector();
        client.open(node, requestHead("b", true), refused);
        assertFailure(refused, ErrorKind.LEAVING, true);
        clockOffsetNanos.set(Duration.ofHours(2).toNanos());
        client.open(node, requestHead("c", true), new ResponseCollector());
        acceptLinkWithRequest(server).close();
        assertFalse(open.failure.isDone());
      }
    }
  }
}
