package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.Hello;
import io.foxtaildoor.protocol.Ping;
import io.foxtaildoor.protocol.Pong;
import io.foxtaildoor.protocol.ProtocolError;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.Future;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One end of a connection between two nodes: performs the handshake, sends heartbeats and closes
 * the connection. All state is confined to the channel's event loop.
 */
abstract class AbstractLink extends SimpleChannelInboundHandler<Frame> {
  /** Outbound buffer sizes in bytes at which streams resume (low) and stop (high) sending. */
  static final WriteBufferWaterMark WRITE_WATER_MARK =
      new WriteBufferWaterMark(128 << 10, 512 << 10);

  /**
   * Outbound buffer size at which a link is closed. Bodies stop at the write water mark, so only
   * replies to a peer that keeps sending frames without reading anything can exceed that mark.
   */
  private static final long OUTBOUND_LIMIT_BYTES = 16 << 20;

  private static final System.Logger LOG = System.getLogger(AbstractLink.class.getName());

  private enum State {
    HANDSHAKE,
    OPEN,
    CLOSED
  }

  final LinkContext shared;
  private State state = State.HANDSHAKE;
  private volatile ChannelHandlerContext context;
  private Future<?> timer;
  private String closeReason = "connection closed by the other side";
  private long lastPingSequence;
  private long lastPongSequence;
  private long pingSentNanos;
  private long lastReceivedNanos;

  AbstractLink(LinkContext shared) {
    this.shared = shared;
  }

  /** Checks the hello of the other side; returns the reason to refuse it, or empty to accept. */
  abstract Optional<String> checkHello(Hello hello);

  /** Called when the handshake has completed. */
  abstract void onOpened(Hello hello);

  /** Handles a frame other than hello, ping, pong and error. */
  abstract void onFrame(Frame frame);

  /** Called once when the connection is closed; no other callback follows. */
  abstract void onClosed(String reason);

  /** Called when the outbound buffer can be written to again. */
  abstract void sendBufferedBodies();

  /** Whether pings are sent on this connection. */
  abstract boolean sendsPings();

  /**
   * Whether this node waits for the other side. If so, pings use the ping interval of links with
   * open streams.
   */
  abstract boolean hasPendingWork();

  /** Called at each ping interval while the link is open. */
  abstract void onHeartbeat(long nowNanos);

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    ctx.channel().config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK);
    scheduleTimer(shared.settings().connectTimeout(), this::onHandshakeTimeout);
  }

  private void scheduleTimer(Duration delay, Runnable task) {
    timer = context.executor().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void onHandshakeTimeout() {
    if (state == State.HANDSHAKE) {
      close("handshake timed out");
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    if (state == State.CLOSED) {
      return;
    }
    lastReceivedNanos = shared.clock().getAsLong();
    if (state == State.HANDSHAKE) {
      receiveHandshake(frame);
      return;
    }
    switch (frame.getBodyCase()) {
      case PING -> {
        if (outboundBytes() > OUTBOUND_LIMIT_BYTES) {
          close("outbound buffer is full because the other side does not read");
          return;
        }
        send(
            Frame.newBuilder().setPong(Pong.newBuilder().setSequence(pingSequence(frame))).build());
      }
      case PONG -> receivePong(frame.getPong().getSequence());
      case ERROR -> onError(frame.getError());
      case HELLO, BODY_NOT_SET ->
          closeForViolation("frame " + frame.getBodyCase() + " is not allowed after the handshake");
      default -> onFrame(frame);
    }
  }

  /** Closes the connection after the other side has reported an error. */
  void onError(ProtocolError error) {
    close("the other side reported an error: " + error.getDetail());
  }

  private static long pingSequence(Frame frame) {
    return frame.getPing().getSequence();
  }

  private void receiveHandshake(Frame frame) {
    if (frame.getBodyCase() == Frame.BodyCase.ERROR) {
      onError(frame.getError());
      return;
    }
    if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
      closeForViolation("first frame is " + frame.getBodyCase() + " instead of HELLO");
      return;
    }
    Optional<String> refusal = checkHello(frame.getHello());
    if (refusal.isPresent()) {
      closeForViolation(refusal.get());
      return;
    }
    state = State.OPEN;
    timer.cancel(false);
    onOpened(frame.getHello());
    if (state == State.OPEN) {
      scheduleTimer(shared.settings().pingInterval(), this::runHeartbeat);
    }
  }

  private void runHeartbeat() {
    if (state != State.OPEN) {
      return;
    }
    long now = shared.clock().getAsLong();
    scheduleTimer(shared.settings().pingInterval(), this::runHeartbeat);
    if (sendsPings()) {
      checkLiveness(now);
    }
    onHeartbeat(now);
  }

  /**
   * Sends a ping to a silent peer and resets the connection when a ping stays unanswered for the
   * ping timeout. At most one ping is outstanding.
   */
  private void checkLiveness(long now) {
    LinkSettings settings = shared.settings();
    if (isPingUnanswered()) {
      if (now - pingSentNanos >= settings.pingTimeout().toNanos()) {
        shared.metrics().countSilentLink();
        reset("no reply to a ping within " + settings.pingTimeout());
      }
      return;
    }
    Duration silence = hasPendingWork() ? settings.pingInterval() : settings.idlePingInterval();
    if (now - lastReceivedNanos >= silence.toNanos()) {
      pingSentNanos = now;
      lastPingSequence++;
      send(Frame.newBuilder().setPing(Ping.newBuilder().setSequence(lastPingSequence)).build());
    }
  }

  private void receivePong(long sequence) {
    if (sequence > lastPingSequence) {
      closeForViolation("pong for a ping that was not sent");
      return;
    }
    lastPongSequence = Math.max(lastPongSequence, sequence);
  }

  /** Whether a ping is outstanding. */
  private boolean isPingUnanswered() {
    return lastPongSequence < lastPingSequence;
  }

  /**
   * Whether a ping has been outstanding for more than half of the ping timeout. New streams are not
   * opened on such a link.
   */
  final boolean isSuspect(long nowNanos) {
    return isPingUnanswered()
        && nowNanos - pingSentNanos > shared.settings().pingTimeout().toNanos() / 2;
  }

  /** Writes and flushes a frame; closes the connection when the write fails. */
  final void send(Frame frame) {
    write(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Queues a frame without flushing; it is sent by the next flush. */
  final void queue(Frame frame) {
    context.write(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Flushes the queued frames. */
  final void flush() {
    context.flush();
  }

  /** Writes and flushes a frame; returns the future of the write. */
  final ChannelFuture write(Frame frame) {
    return context.writeAndFlush(frame);
  }

  final boolean isOpen() {
    return state == State.OPEN;
  }

  final boolean isClosed() {
    return state == State.CLOSED;
  }

  final boolean isWritable() {
    return state == State.OPEN && context.channel().isWritable();
  }

  final ChannelHandlerContext context() {
    return context;
  }

  private long outboundBytes() {
    return context.channel().bytesBeforeWritable();
  }

  /** Reports a protocol violation to the other side with an error frame and closes the link. */
  final void closeForViolation(String detail) {
    if (state == State.CLOSED) {
      return;
    }
    shared.metrics().countViolation();
    LOG.log(Level.WARNING, "closing link to {0}: {1}", context.channel().remoteAddress(), detail);
    ProtocolError error =
        ProtocolError.newBuilder()
            .setKind(ErrorKind.PROTOCOL_VIOLATION.name())
            .setDetail(detail)
            .build();
    write(Frame.newBuilder().setError(error).build()).addListener(ChannelFutureListener.CLOSE);
    markClosed("protocol violation: " + detail);
  }

  /**
   * Resets the connection and discards unsent bytes. Otherwise TCP would deliver them when a broken
   * network path recovers, including requests that their callers cancelled long before.
   */
  private void reset(String reason) {
    LOG.log(Level.WARNING, "resetting link to {0}: {1}", context.channel().remoteAddress(), reason);
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    close(reason);
  }

  /** Closes the connection; the reason is reported to its streams or call. */
  final void close(String reason) {
    closeReason = reason;
    var unused = context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    markClosed(closeReason);
  }

  private void markClosed(String reason) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    timer.cancel(false);
    onClosed(reason);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (isWritable()) {
      sendBufferedBodies();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      closeForViolation("malformed frame: " + cause.getMessage());
    } else {
      LOG.log(Level.DEBUG, "link failed with an I/O error", cause);
      close("connection failed: " + cause.getMessage());
    }
  }

  /** Settings, identity, metrics and clock that all links of a node share. */
  record LinkContext(
      LinkSettings settings, LinkIdentity identity, LinkMetrics metrics, LongSupplier clock) {}
}
