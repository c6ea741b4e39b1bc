package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.Outcome;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * One connection of a caller: takes one request at a time, in order, and answers it before the next
 * one is taken. All state belongs to the connection's event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Decoded messages of later requests at which reading stops. */
  private static final int MAX_QUEUED = 32;

  /** Time for which input is dropped after the last answer, so that no reset overtakes it. */
  private static final long LINGER_MILLIS = 1_000;

  /** Any delay lets the event loop look at its sockets first. */
  private static final long NEXT_TURN_MILLIS = 1;

  private static final System.Logger LOGGER = System.getLogger(CallerConnection.class.getName());

  private final CallerSettings settings;
  private final CallerDependencies dependencies;
  private final ReplayMemory replayMemory;
  private final CallerResponseEncoder encoder;
  private final RequestTimeoutHandler timeouts;
  private final BooleanSupplier crowded;
  private final Queue<HttpObject> queue = new ArrayDeque<>();
  private Channel channel;
  private Exchange exchange;
  private boolean requestOpen;

  /** Written on the event loop only; the end of a drain reads it on another thread. */
  private volatile boolean answerOpen;

  private boolean postponed;
  private boolean draining;
  private boolean closing;

  CallerConnection(
      CallerSettings settings,
      CallerDependencies dependencies,
      ReplayMemory replayMemory,
      CallerResponseEncoder encoder,
      RequestTimeoutHandler timeouts,
      BooleanSupplier crowded) {
    this.replayMemory = replayMemory;
    this.settings = settings;
    this.dependencies = dependencies;
    this.encoder = encoder;
    this.timeouts = timeouts;
    this.crowded = crowded;
  }

  /** Whether an exchange is the one whose answer is due. */
  boolean isCurrent(Exchange other) {
    return exchange == other && answerOpen;
  }

  /** Whether a request is in progress; safe to call on any thread. */
  boolean isAnswering() {
    return answerOpen;
  }

  private boolean isIdle() {
    return !requestOpen && !answerOpen && queue.isEmpty() && !timeouts.hasBegun();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    timeouts.await();
    if (draining) {
      closeWhenQuiet();
    }
    ctx.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    releaseQueue();
    if (exchange != null) {
      exchange.callerGone();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    queue.add((HttpObject) message);
    if (message instanceof HttpRequest && dependencies.guard().mayReadStaleRequests()) {
      postpone();
    } else if (!postponed) {
      takeQueued();
    }
  }

  /**
   * Leaves a request for the next turn of a late event loop. The request may have waited unread for
   * longer than its caller did, and the end of the connection is only seen in that turn.
   */
  private void postpone() {
    if (postponed) {
      return;
    }
    postponed = true;
    var unused =
        channel
            .eventLoop()
            .schedule(
                () -> {
                  postponed = false;
                  if (!closing) {
                    takeQueued();
                  }
                },
                NEXT_TURN_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  private void takeQueued() {
    while (!closing && !queue.isEmpty() && (requestOpen || !answerOpen)) {
      HttpObject message = queue.remove();
      if (requestOpen) {
        takeContent((HttpContent) message);
      } else {
        takeHead((HttpRequest) message);
      }
    }
    updateReading();
  }

  /** Reads from the caller only while what arrives can be passed on or held. */
  void updateReading() {
    boolean blocked = exchange != null && exchange.isBlocked();
    channel.config().setAutoRead(closing || (!blocked && queue.size() < MAX_QUEUED));
  }

  private void takeHead(HttpRequest request) {
    long now = dependencies.nanoTime().getAsLong();
    timeouts.arrived();
    answerOpen = true;
    // The decoder ends a message that it could not read by itself.
    requestOpen = request.decoderResult().isSuccess();
    boolean http10 = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    boolean keepAlive = requestOpen && HttpUtil.isKeepAlive(request) && !draining;
    boolean toHead = request.method().equals(HttpMethod.HEAD);
    Answer answer = new Answer(channel, encoder, headers(), toHead, http10, keepAlive);
    try {
      if (!requestOpen) {
        ReferenceCountUtil.release(request);
        throw unreadable(request.decoderResult().cause());
      }
      RequestHead head =
          new RequestHeadReader(
                  dependencies.protocol(), dependencies.patience(), dependencies.random().get())
              .read(request, dependencies.configuration().get(), newId(), now);
      checkProcessor(head, now);
      RequestBody body =
          new RequestBody(
              head.hasBody(), head.route().maxBodyBytes(), settings.replayBytes(), replayMemory);
      exchange = new Exchange(this, dependencies, channel.eventLoop(), head, answer, body, now);
      exchange.begin();
    } catch (FoxtaildoorException e) {
      refuse(answer, e, requestOpen && RequestHeadReader.hasSmallBody(request));
    }
  }

  private static FoxtaildoorException unreadable(Throwable cause) {
    return cause instanceof TooLongHttpHeaderException
        ? new FoxtaildoorException(ErrorKind.HEADERS_TOO_LARGE, "the headers are too large", cause)
        : new FoxtaildoorException(ErrorKind.INVALID_INPUT, "the request head is malformed", cause);
  }

  /**
   * Refuses a request that the processor cannot serve in time. A call without a second try is only
   * refused when its caller has probably left already, since its parent would be lost with it.
   */
  private void checkProcessor(RequestHead head, long nowNanos) {
    if (dependencies.guard().hasProbablyExpired(head.deadlineNanos() - nowNanos)) {
      throw new FoxtaildoorException(
          ErrorKind.EXPIRED, "the request was not read before its deadline");
    }
    if (head.objectiveNanos().isEmpty()) {
      return;
    }
    boolean misses = head.objectiveNanos().getAsLong() - nowNanos <= 0;
    if (dependencies.guard().shouldRefuse(head.route().rank(), misses)) {
      throw new FoxtaildoorException(
          ErrorKind.OVERLOADED, "the node's processor is behind with other requests");
    }
  }

  /** Whether a refused caller is to come back on a new connection. */
  boolean closesRefused() {
    return crowded.getAsBoolean();
  }

  private void refuse(Answer answer, FoxtaildoorException reason, boolean discardable) {
    boolean unreadable =
        reason.kind() == ErrorKind.INVALID_INPUT || reason.kind() == ErrorKind.HEADERS_TOO_LARGE;
    if (!discardable || unreadable || closesRefused()) {
      answer.closeAfterwards();
    }
    dependencies.metrics().refused(reason.kind().headerValue());
    answer
        .writeError(
            new ProblemDocuments(dependencies.protocol())
                .of(reason.kind(), Outcome.NOT_RUN, reason.getMessage(), newId()))
        .addListener(written -> answerFinished(null, written.isSuccess() && answer.isKeepAlive()));
  }

  private void takeContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    requestOpen = !last;
    if (exchange == null) {
      content.release();
    } else if (content.decoderResult().isFailure()) {
      content.release();
      exchange.malformedBody();
    } else {
      exchange.requestBody(content.content(), last);
    }
    if (content.decoderResult().isFailure() && !answerOpen) {
      close();
    } else if (!requestOpen && !answerOpen) {
      awaitRequest();
    }
  }

  /** Continues after the last byte of an answer was written. */
  void answerFinished(Exchange finished, boolean keepAlive) {
    if (closing || exchange != finished) {
      return;
    }
    exchange = null;
    answerOpen = false;
    if (!keepAlive || draining) {
      close();
    } else if (requestOpen) {
      timeouts.awaitRest();
      takeQueued();
    } else {
      awaitRequest();
      takeQueued();
    }
  }

  private void awaitRequest() {
    if (draining) {
      close();
    } else {
      timeouts.await();
    }
  }

  /** Announces the close with the next answer, or closes after a quiet time when idle. */
  void beginDrain() {
    draining = true;
    if (exchange != null) {
      exchange.closeAfterwards();
    }

    if (channel != null) {
      closeWhenQuiet();
    }
  }

  private void closeWhenQuiet() {
    if (isIdle()) {
      ScheduledFuture<?> quiet =
          channel
              .eventLoop()
              .schedule(this::closeIfIdle, settings.drainQuiet().toNanos(), TimeUnit.NANOSECONDS);
      channel.closeFuture().addListener(closed -> quiet.cancel(false));
    }
  }

  private void closeIfIdle() {
    if (isIdle()) {
      close();
    }
  }

  /** Ends the output and drops the input until the caller closes, at most for a short time. */
  private void close() {
    if (closing) {
      return;
    }
    closing = true;
    timeouts.arrived();
    releaseQueue();
    updateReading();
    ((SocketChannel) channel).shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    ScheduledFuture<?> linger =
        channel.eventLoop().schedule(this::closeChannel, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> linger.cancel(false));
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == RequestTimeoutHandler.IDLE) {
      close();
    } else if (event == RequestTimeoutHandler.HEAD_TOO_SLOW) {
      headTooSlow();
    } else {
      ctx.fireUserEventTriggered(event);
    }
  }

  private void headTooSlow() {
    if (requestOpen || answerOpen) {
      // The answer was written already; only the rest of the request is missing.
      close();
      return;
    }
    answerOpen = true;
    Answer answer = new Answer(channel, encoder, headers(), false, false, false);
    refuse(
        answer,
        new FoxtaildoorException(ErrorKind.HEAD_TIMEOUT, "the request head did not arrive in time"),
        false);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A reset by the caller is ordinary; anything else is a fault of the product.
    Level level = cause instanceof IOException ? Level.DEBUG : Level.WARNING;
    LOGGER.log(level, "connection of a caller failed", cause);
    closeChannel();
  }

  private void closeChannel() {
    channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private void releaseQueue() {
    queue.forEach(ReferenceCountUtil::release);
    queue.clear();
  }

  private HeaderDialect headers() {
    return dependencies.protocol().headers();
  }

  private String newId() {
    return HexFormat.of().toHexDigits(dependencies.random().get().nextLong())
        + HexFormat.of().toHexDigits(dependencies.random().get().nextLong());
  }
}
