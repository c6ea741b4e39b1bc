package io.foxtaildoor.connection.link;

import static io.foxtaildoor.connection.link.LinkFixture.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.LinkPurpose;
import io.foxtaildoor.protocol.PartBytes;
import io.foxtaildoor.protocol.PartRequest;
import io.foxtaildoor.protocol.PartResponse;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link NettyControlCaller}. */
public class NettyControlCallerTest {
  private LinkFixture fixture;

  @BeforeMethod
  public void start() {
    fixture =
        new LinkFixture(
            (head, response) -> null,
            Map.of(Frame.BodyCase.PART_REQUEST, NettyControlCallerTest::handlePartRequest));
  }

  @AfterMethod
  public void stop() {
    fixture.close();
  }

  private static Frame handlePartRequest(Frame request) {
    ByteString digest = request.getPartRequest().getDigests(0);
    if (digest.isEmpty()) {
      throw new FoxtaildoorException(ErrorKind.NOT_FOUND, "no such part");
    }
    return Frame.newBuilder()
        .setPartResponse(
            PartResponse.newBuilder().addParts(PartBytes.newBuilder().setDigest(digest)))
        .build();
  }

  private NettyControlCaller caller(Duration deadline) {
    LinkSettings settings = LinkFixture.SETTINGS.withControlLimits(deadline, 2, 100);
    return new NettyControlCaller(
        fixture.group, settings, LinkFixture.identity("c"), fixture.metrics, System::nanoTime);
  }

  private static Frame request(String digest) {
    return Frame.newBuilder()
        .setPartRequest(PartRequest.newBuilder().addDigests(ByteString.copyFromUtf8(digest)))
        .build();
  }

  private static ErrorKind failureKind(CompletableFuture<Frame> reply) {
    ExecutionException e =
        expectThrows(
            ExecutionException.class, () -> reply.get(LinkFixture.WAIT_SECONDS, TimeUnit.SECONDS));
    return ((FoxtaildoorException) e.getCause()).kind();
  }

  /** Guards against replies that complete another call when many calls share few connections. */
  @Test
  public void eachCallReceivesItsOwnReply() {
    try (NettyControlCaller caller = caller(Duration.ofSeconds(20))) {
      List<CompletableFuture<Frame>> replies = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        replies.add(caller.call(fixture.address, request("d" + i)));
      }
      for (int i = 0; i < replies.size(); i++) {
        ByteString digest = await(replies.get(i)).getPartResponse().getParts(0).getDigest();
        assertEquals(digest.toStringUtf8(), "d" + i);
      }
    }
  }

  /** Guards against an error reply of a handler that is lost or makes the next call fail. */
  @Test
  public void errorFrameFailsOnlyItsOwnCall() {
    try (NettyControlCaller caller = caller(Duration.ofSeconds(20))) {
      assertEquals(failureKind(caller.call(fixture.address, request(""))), ErrorKind.NOT_FOUND);
      await(caller.call(fixture.address, request("d")));
    }
  }

  /** Guards against a late reply that completes the next call on the same connection. */
  @Test
  public void connectionWithUnfinishedExchangeIsNotReused() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        NettyControlCaller caller = caller(Duration.ofSeconds(2))) {
      InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
      CompletableFuture<Frame> late = caller.call(address, request("late"));
      LinkFixture.RawPeer first = LinkFixture.RawPeer.accept(server);
      first.read();
      first.hello("raw", LinkPurpose.CONTROL, "");
      first.read();
      assertEquals(failureKind(late), ErrorKind.TIMEOUT);
      CompletableFuture<Frame> next = caller.call(address, request("next"));
      assertTrue(first.isClosedByPeer());
      LinkFixture.RawPeer second = LinkFixture.RawPeer.accept(server);
      assertEquals(failureKind(next), ErrorKind.NODE_UNREACHABLE);
      first.close();
      second.close();
    }
  }
}
