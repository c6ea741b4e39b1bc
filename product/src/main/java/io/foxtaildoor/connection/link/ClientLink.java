package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.LinkPurpose;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.protocol.WindowUpdate;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;

/** The client end of a link. The node that opened the link sends its request streams on it. */
final class ClientLink extends AbstractLink {
  private final String expectedNodeId;
  private final Invariants invariants;
  private final Owner owner;
  private final Long2ObjectHashMap<ClientStream> streams = new Long2ObjectHashMap<>();
  private final List<ClientStream> awaitingHandshake = new ArrayList<>();
  private long lastStreamId;
  private boolean goingAway;
  private long idleSinceNanos;

  /** Is notified of state changes of a link, on the event loop of the link. */
  interface Owner {
    /** Called when the handshake has completed. */
    void linkOpened(ClientLink link);

    /** Called when the other node has announced that it refuses new streams. */
    void linkGoingAway(ClientLink link);

    /**
     * Called when the link is closed.
     *
     * @param wasOpen whether the handshake had completed
     */
    void linkClosed(ClientLink link, boolean wasOpen);
  }

  ClientLink(LinkContext shared, String expectedNodeId, Invariants invariants, Owner owner) {
    super(shared);
    this.expectedNodeId = expectedNodeId;
    this.invariants = invariants;
    this.owner = owner;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    Hello hello = shared.identity().hello(LinkPurpose.REQUESTS, expectedNodeId);
    send(Frame.newBuilder().setHello(hello).build());
  }

  @Override
  Optional<String> checkHello(Hello hello) {
    return Handshake.checkAcceptor(shared.identity(), hello, expectedNodeId);
  }

  @Override
  void onOpened(Hello hello) {
    idleSinceNanos = shared.clock().getAsLong();
    owner.linkOpened(this);
    List<ClientStream> pending = List.copyOf(awaitingHandshake);
    awaitingHandshake.clear();
    for (ClientStream stream : pending) {
      if (isOpen()) {
        startStream(stream);
      } else {
        stream.onLinkClosed("link closed before the request was sent");
      }
    }
  }

  /** Opens a stream now, or as soon as the handshake has completed. */
  void open(ClientStream stream) {
    stream.attachTo(this);
    if (isOpen()) {
      startStream(stream);
    } else {
      awaitingHandshake.add(stream);
    }
  }

  private void startStream(ClientStream stream) {
    lastStreamId++;
    streams.put(lastStreamId, stream);
    stream.start(lastStreamId);
  }

  /** Whether new streams may be opened on this link. */
  boolean isUsable(long nowNanos) {
    return !isClosed() && !goingAway && !isSuspect(nowNanos);
  }

  /** Returns the number of open streams, including those that wait for the handshake. */
  int streamCount() {
    return streams.size() + awaitingHandshake.size();
  }

  /** Removes a finished stream; its id is never reused. */
  void remove(ClientStream stream) {
    if (stream.id() != 0) {
      streams.remove(stream.id());
    }
    awaitingHandshake.remove(stream);
    if (streamCount() == 0) {
      idleSinceNanos = shared.clock().getAsLong();
      if (goingAway) {
        close("the other node is leaving");
      }
    }
  }

  void sendWindowUpdate(long id, int bytes) {
    WindowUpdate update = WindowUpdate.newBuilder().setStream(id).setBytes(bytes).build();
    send(Frame.newBuilder().setWindowUpdate(update).build());
  }

  @Override
  void onFrame(Frame frame) {
    String violation =
        switch (frame.getBodyCase()) {
          case RESPONSE_START -> {
            ResponseStart start = frame.getResponseStart();
            ClientStream stream = find(start.getStream());
            yield stream == null
                ? dropFrameOfFinishedStream(start.getStream())
                : receiveResponseStart(stream, start);
          }
          case RESPONSE_BODY -> {
            ClientStream stream = find(frame.getResponseBody().getStream());
            yield stream == null
                ? dropFrameOfFinishedStream(frame.getResponseBody().getStream())
                : stream.receiveBody(frame.getResponseBody());
          }
          case FAILURE -> receiveFailure(frame);
          case WINDOW_UPDATE -> {
            ClientStream stream = find(frame.getWindowUpdate().getStream());
            yield stream == null
                ? dropFrameOfFinishedStream(frame.getWindowUpdate().getStream())
                : stream.receiveWindowUpdate(frame.getWindowUpdate().getBytes());
          }
          case GO_AWAY -> {
            receiveGoAway();
            yield null;
          }
          default -> "frame " + frame.getBodyCase() + " on a request link";
        };
    if (violation != null) {
      closeForViolation(violation);
    }
  }

  private ClientStream find(long id) {
    return streams.get(id);
  }

  /**
   * Drops a frame of a finished stream. Returns the violation when the stream id was never used,
   * null otherwise.
   */
  private String dropFrameOfFinishedStream(long id) {
    if (id <= 0 || id > lastStreamId) {
      return "frame for stream " + id + " that was never opened";
    }
    shared.metrics().countDroppedFrame();
    return null;
  }

  private String receiveResponseStart(ClientStream stream, ResponseStart response) {
    boolean matches = stream.matchesRequest(response);
    invariants.check(
        Invariant.ANSWER_MATCHES_REQUEST,
        matches,
        () ->
            "stream "
                + stream.id()
                + " of request "
                + stream.requestId()
                + " got the response of another request");
    if (!matches) {
      return "response of another request on stream " + stream.id();
    }
    return stream.receiveStart(response);
  }

  private String receiveFailure(Frame frame) {
    long id = frame.getFailure().getStream();
    ClientStream stream = find(id);
    if (stream == null) {
      return dropFrameOfFinishedStream(id);
    }
    StreamFailure failure = LinkFailures.withKnownKind(frame.getFailure());
    shared.metrics().countFailedStream(failure.getKind());
    stream.receiveFailure(failure);
    return null;
  }

  private void receiveGoAway() {
    goingAway = true;
    owner.linkGoingAway(this);
    if (streamCount() == 0) {
      close("the other node is leaving");
    }
  }

  @Override
  void onClosed(String reason) {
    owner.linkClosed(this, lastStreamId > 0 || idleSinceNanos != 0);
    List<ClientStream> pending = new ArrayList<>(streams.values());
    pending.addAll(awaitingHandshake);
    streams.clear();
    awaitingHandshake.clear();
    for (ClientStream stream : pending) {
      stream.onLinkClosed(reason);
    }
  }

  /** Fails the waiting streams after the connection attempt has failed. */
  void connectFailed(String reason) {
    owner.linkClosed(this, false);
    List<ClientStream> pending = List.copyOf(awaitingHandshake);
    awaitingHandshake.clear();
    for (ClientStream stream : pending) {
      stream.fail(ErrorKind.NODE_UNREACHABLE, true, reason);
    }
  }

  @Override
  void sendBufferedBodies() {
    for (ClientStream stream : List.copyOf(streams.values())) {
      stream.sendBuffered();
    }
  }

  @Override
  boolean sendsPings() {
    return true;
  }

  @Override
  boolean hasPendingWork() {
    return streamCount() > 0;
  }

  @Override
  void onHeartbeat(long nowNanos) {
    if (streamCount() == 0
        && nowNanos - idleSinceNanos >= shared.settings().idleTimeout().toNanos()) {
      close("idle");
    }
  }
}
