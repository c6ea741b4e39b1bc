package io.foxtaildoor.connection.link;

import static io.foxtaildoor.connection.link.LinkFixture.await;
import static io.foxtaildoor.connection.link.LinkFixture.head;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.link.LinkFixture.Answer;
import io.foxtaildoor.connection.link.LinkFixture.RawPeer;
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

  /** Sends the body back as it comes. */
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

  /** Guards against answers that reach another request, and windows that stop a stream. */
  @Test
  public void concurrentStreamsReceiveTheirOwnCompleteResponses() {
    SplittableRandom random = new SplittableRandom(7);
    NettyLinkClient client = fixture.client();
    List<Answer> answers = new ArrayList<>();
    List<byte[]> bodies = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      byte[] body = new byte[random.nextInt(1, 300_000)];
      random.nextBytes(body);
      Answer answer = new Answer();
      answer.stream = client.open(fixture.server(), head("r" + i, false), answer);
      answer.stream.send(Unpooled.wrappedBuffer(body), true);
      answers.add(answer);
      bodies.add(body);
    }
    for (int i = 0; i < answers.size(); i++) {
      assertEquals(await(answers.get(i).whole), bodies.get(i), "stream " + i);
    }
    assertEquals(fixture.invariants.totalBreaches(), 0);
    client.close();
  }

  /** Guards against a listener that is told nothing, or the wrong outcome, when no node answers. */
  @Test
  public void requestToUnreachableNodeFailsAsNotRun() throws Exception {
    InetSocketAddress free;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      free = (InetSocketAddress) socket.getLocalSocketAddress();
    }
    try (NettyLinkClient client = fixture.client()) {
      Answer answer = new Answer();
      client.open(LinkFixture.node("gone", free), head("r", true), answer);
      assertFailure(answer, ErrorKind.NODE_UNREACHABLE, true);
    }
  }

  /** Guards against requests to a node that took over the address of another. */
  @Test
  public void requestToAddressOfAnotherNodeFailsAsNotRun() {
    try (NettyLinkClient client = fixture.client()) {
      Answer answer = new Answer();
      client.open(LinkFixture.node("other", fixture.address), head("r", true), answer);
      assertFailure(answer, ErrorKind.NODE_UNREACHABLE, true);
    }
  }

  private static void assertFailure(Answer answer, ErrorKind kind, boolean notRun) {
    StreamFailure failure = await(answer.failure);
    assertEquals(failure.getKind(), kind.name(), failure.getDetail());
    assertEquals(failure.getNotRun(), notRun);
    assertFalse(answer.whole.isDone());
  }

  /** A fault of the other node after it received the head of a request. */
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
    Fault afterHead =
        peer -> {
          peer.write(responseStart(1, "r"));
          peer.close();
        };
    Fault garbage = peer -> peer.writeRaw(new byte[] {0, 0, 0, 2, -1, -1});
    Fault neverOpened = peer -> peer.write(responseStart(9, "r"));
    Fault otherRequest = peer -> peer.write(responseStart(1, "other"));
    Fault twice =
        peer -> {
          peer.write(responseStart(1, "r"));
          peer.write(responseStart(1, "r"));
        };
    return new Object[][] {
      {"reset", reset, 0},
      {"closed", closed, 0},
      {"closed in the answer", afterHead, 0},
      {"garbage", garbage, 0},
      {"answer to a stream never opened", neverOpened, 0},
      {"answer to another request", otherRequest, 1},
      {"second head", twice, 0},
    };
  }

  /** Guards against "not run" for a request that was sent, and against a foreign answer. */
  @Test(dataProvider = "faults")
  public void linkFaultAfterRequestHeadGivesUnknownOutcome(String name, Fault fault, int breaches)
      throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client = fixture.client()) {
      Answer answer = new Answer();
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      client.open(LinkFixture.node("raw", address), head("r", true), answer);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        fault.apply(peer);
        assertFailure(answer, ErrorKind.OUTCOME_UNKNOWN, false);
      }
    }
    assertEquals(fixture.invariants.breaches(Invariant.ANSWER_MATCHES_REQUEST), breaches, name);
  }

  /** Does the handshake and waits for the head of a request. */
  private static RawPeer acceptLinkWithRequest(ServerSocket server) throws Exception {
    RawPeer peer = RawPeer.accept(server);
    assertEquals(peer.read().getHello().getExpectedNodeId(), "raw");
    peer.hello("raw", LinkPurpose.REQUESTS, "client");
    assertEquals(peer.read().getBodyCase(), Frame.BodyCase.REQUEST_START);
    return peer;
  }

  /** Guards against a late answer that reaches anybody or closes the link. */
  @Test
  public void responsesToCancelledStreamsAreDropped() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client = fixture.client()) {
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      Answer first = new Answer();
      RequestStream stream = client.open(LinkFixture.node("raw", address), head("a", true), first);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        stream.cancel("test");
        assertEquals(peer.read().getBodyCase(), Frame.BodyCase.CANCEL);
        Answer second = new Answer();
        client.open(LinkFixture.node("raw", address), head("b", true), second);
        assertEquals(peer.read().getRequestStart().getStream(), 2);
        peer.write(responseStart(1, "a"));
        peer.write(responseStart(2, "b"));
        await(second.head);
        assertFalse(first.head.isDone());
        assertEquals(fixture.metrics.framesDropped(), 1);
      }
    }
  }

  /** Guards against streams that wait for ever on a connection that went silent. */
  @Test
  public void silentLinkIsResetAndReplaced() throws Exception {
    LinkSettings quick =
        LinkFixture.SETTINGS.withPings(
            Duration.ofMillis(20), Duration.ofMillis(20), Duration.ofMillis(200));
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client = fixture.client(quick, System::nanoTime)) {
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      Answer silent = new Answer();
      client.open(LinkFixture.node("raw", address), head("a", true), silent);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        assertFailure(silent, ErrorKind.OUTCOME_UNKNOWN, false);
        assertTrue(peer.isReset(), "what was written must not be delivered later");
        assertTrue(await(silent.failure).getDetail().contains("ping"));
        client.open(LinkFixture.node("raw", address), head("b", true), new Answer());
        acceptLinkWithRequest(server).close();
      }
    }
  }

  /** Guards against a leaving node that cuts its open streams, gets new ones or is kept out. */
  @Test
  public void goAwayKeepsOpenStreamsAndRefusesNewOnes() throws Exception {
    AtomicLong passed = new AtomicLong();
    LinkSettings settings =
        LinkFixture.SETTINGS.withConnectTimeoutAndBackoff(
            Duration.ofSeconds(20), Duration.ofHours(1), Duration.ofHours(1));
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyLinkClient client = fixture.client(settings, () -> System.nanoTime() + passed.get())) {
      NodeRecord node = LinkFixture.node("raw", (InetSocketAddress) server.getLocalSocketAddress());
      Answer open = new Answer();
      client.open(node, head("a", true), open);
      try (RawPeer peer = acceptLinkWithRequest(server)) {
        peer.write(Frame.newBuilder().setGoAway(GoAway.getDefaultInstance()).build());
        peer.write(responseStart(1, "a"));
        await(open.head);
        Answer refused = new Answer();
        client.open(node, head("b", true), refused);
        assertFailure(refused, ErrorKind.LEAVING, true);
        passed.set(Duration.ofHours(2).toNanos());
        client.open(node, head("c", true), new Answer());
        acceptLinkWithRequest(server).close();
        assertFalse(open.failure.isDone());
      }
    }
  }
}
