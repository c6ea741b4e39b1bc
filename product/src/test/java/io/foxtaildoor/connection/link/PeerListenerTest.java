package io.foxtaildoor.connection.link;

import static io.foxtaildoor.connection.link.LinkFixture.await;
import static io.foxtaildoor.connection.link.LinkFixture.requestHead;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.protocol.BodyChunk;
import io.foxtaildoor.protocol.CancelStream;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.LinkPurpose;
import io.foxtaildoor.protocol.Pong;
import io.foxtaildoor.protocol.WindowUpdate;
import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PeerListener} with raw peers. */
public class PeerListenerTest {
  private LinkFixture fixture;
  private CompletableFuture<String> cancelled;
  private BlockingQueue<ResponseStream> acceptedStreams;

  @BeforeMethod
  public void start() {
    cancelled = new CompletableFuture<>();
    acceptedStreams = new LinkedBlockingQueue<>();
    fixture =
        new LinkFixture(
            (head, response) -> {
              acceptedStreams.add(response);
              return new RequestListener() {
                @Override
                public void onBody(ByteBuf data, boolean end) {
                  data.release();
                }

                @Override
                public void onCancelled(String reason) {
                  cancelled.complete(reason);
                }

                @Override
                public void onWritable() {}
              };
            },
            Map.of());
  }

  @AfterMethod
  public void stop() {
    fixture.close();
  }

  private LinkFixture.RawPeer connectAndHandshake() throws Exception {
    LinkFixture.RawPeer peer = LinkFixture.RawPeer.connect(fixture.address);
    peer.hello("client", LinkPurpose.REQUESTS, "server");
    assertEquals(peer.read().getBodyCase(), Frame.BodyCase.HELLO);
    return peer;
  }

  private ResponseStream nextAcceptedStream() throws InterruptedException {
    ResponseStream stream = acceptedStreams.poll(LinkFixture.WAIT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(stream);
    return stream;
  }

  private static Frame requestStart(long stream, boolean end) {
    return Frame.newBuilder()
        .setRequestStart(requestHead("r" + stream, end).toBuilder().setStream(stream))
        .build();
  }

  private static Frame requestBody(long stream, int bytes, boolean end) {
    return Frame.newBuilder()
        .setRequestBody(
            BodyChunk.newBuilder()
                .setStream(stream)
                .setData(ByteString.copyFrom(new byte[bytes]))
                .setEnd(end))
        .build();
  }

  @DataProvider
  public Object[][] protocolViolations() {
    Frame hello =
        Frame.newBuilder()
            .setHello(LinkFixture.identity("x").hello(LinkPurpose.REQUESTS, ""))
            .build();
    Frame grant =
        Frame.newBuilder()
            .setWindowUpdate(WindowUpdate.newBuilder().setStream(1).setBytes(1))
            .build();
    Frame pong = Frame.newBuilder().setPong(Pong.newBuilder().setSequence(1L << 40)).build();
    Frame chunk = requestBody(1, SendBuffer.MAX_CHUNK_BYTES, false);
    return new Object[][] {
      {"stream id zero", List.of(requestStart(0, true))},
      {"same stream id again", List.of(requestStart(1, false), requestStart(1, false))},
      {"smaller stream id", List.of(requestStart(5, false), requestStart(3, false))},
      {"body of a stream never opened", List.of(requestBody(1, 1, true))},
      {"body after its end", List.of(requestStart(1, true), requestBody(1, 1, true))},
      {
        "chunk too large",
        List.of(requestStart(1, false), requestBody(1, SendBuffer.MAX_CHUNK_BYTES + 1, false))
      },
      {"empty chunk", List.of(requestStart(1, false), requestBody(1, 0, false))},
      {"window exceeded", List.of(requestStart(1, false), chunk, chunk, chunk, chunk, chunk)},
      {"window update above the window", List.of(requestStart(1, false), grant)},
      {"second hello", List.of(hello)},
      {"frame without a body", List.of(Frame.getDefaultInstance())},
      {"pong without a ping", List.of(pong)},
    };
  }

  /** Guards against a faulty peer whose link stays open or whose frames reach another stream. */
  @Test(dataProvider = "protocolViolations")
  public void protocolViolationGetsErrorFrameAndCloses(String name, List<Frame> frames)
      throws Exception {
    try (LinkFixture.RawPeer peer = connectAndHandshake()) {
      for (Frame frame : frames) {
        peer.write(frame);
      }
      Frame reply = peer.read();
      assertEquals(reply.getBodyCase(), Frame.BodyCase.ERROR, name);
      assertEquals(reply.getError().getKind(), ErrorKind.PROTOCOL_VIOLATION.name());
      assertTrue(peer.isClosedByPeer(), name);
    }
  }

  @DataProvider
  public Object[][] malformedBytes() {
    return new Object[][] {
      {"oversized", new byte[] {0x7f, 0, 0, 0, 1, 2, 3}},
      {"negative length", new byte[] {-1, -1, -1, -1, 0}},
      {"no protobuf", new byte[] {0, 0, 0, 3, -1, -1, -1}},
      {"empty frame", new byte[] {0, 0, 0, 0}},
    };
  }

  /** Guards against connections that stay open after malformed bytes. */
  @Test(dataProvider = "malformedBytes")
  public void malformedBytesGetErrorFrameAndClose(String name, byte[] bytes) throws Exception {
    try (LinkFixture.RawPeer peer = connectAndHandshake()) {
      peer.writeRaw(bytes);
      assertEquals(peer.read().getBodyCase(), Frame.BodyCase.ERROR, name);
      assertTrue(peer.isClosedByPeer(), name);
    }
  }

  @DataProvider
  public Object[][] invalidHellos() {
    Hello validHello = LinkFixture.identity("client").hello(LinkPurpose.REQUESTS, "server");
    return new Object[][] {
      {validHello.toBuilder().setCluster("other").build()},
      {validHello.toBuilder().setExpectedNodeId("former-node").build()},
      {validHello.toBuilder().setMinProtocol(2).setMaxProtocol(3).build()},
      {validHello.toBuilder().setPurposeValue(9).build()},
    };
  }

  /** Guards against requests that reach a node of another cluster or at a reused address. */
  @Test(dataProvider = "invalidHellos")
  public void rejectsInvalidHello(Hello hello) throws Exception {
    try (LinkFixture.RawPeer peer = LinkFixture.RawPeer.connect(fixture.address)) {
      peer.write(Frame.newBuilder().setHello(hello).build());
      assertEquals(peer.read().getBodyCase(), Frame.BodyCase.ERROR);
      assertTrue(peer.isClosedByPeer());
    }
  }

  /** Guards against an upstream that continues to work on requests of a disconnected caller. */
  @Test
  public void connectionResetCancelsStreams() throws Exception {
    LinkFixture.RawPeer peer = connectAndHandshake();
    peer.write(requestStart(1, false));
    nextAcceptedStream();
    peer.reset();
    await(cancelled);
    await(fixture.listener.beginDrain());
  }

  /**
   * Guards against closing a link because a cancel or body frame arrives after its stream ended.
   */
  @Test
  public void framesOfFinishedStreamsAreDropped() throws Exception {
    try (LinkFixture.RawPeer peer = connectAndHandshake()) {
      peer.write(requestStart(1, false));
      nextAcceptedStream().fail(LinkFailures.of(ErrorKind.OVERLOADED, true, "full"));
      assertEquals(peer.read().getBodyCase(), Frame.BodyCase.FAILURE);
      peer.write(requestBody(1, 10, true));
      peer.write(Frame.newBuilder().setCancel(CancelStream.newBuilder().setStream(1)).build());
      peer.write(requestStart(2, true));
      nextAcceptedStream();
      assertFalse(fixture.listener.beginDrain().isDone());
      assertEquals(peer.read().getBodyCase(), Frame.BodyCase.GO_AWAY);
      peer.write(requestStart(3, true));
      Frame refusal = peer.read();
      assertEquals(refusal.getFailure().getKind(), ErrorKind.LEAVING.name());
      assertTrue(refusal.getFailure().getNotRun());
      assertEquals(fixture.metrics.framesDropped(), 2);
    }
  }
}
