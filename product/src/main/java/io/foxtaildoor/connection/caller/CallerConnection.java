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
  private static final int MAX_QUEUED_MESSAGES = 32;

  /** Time for which input is dropped after the last response, so that no reset overtakes it. */
  private static final long LINGER_MILLIS = 1_000;

  /** Any delay lets the event loop look at its sockets first. */
  private static final long POSTPONE_DELAY_MILLIS = 1;

  private static final System.Logger LOGGER = System.getLogger(CallerConnection.class.getName());

  private final CallerSettings settings;
  private final CallerDependencies dependencies;
  private final ReplayBufferBudget replayBudget;
  private final CallerResponseEncoder encoder;
  private final RequestTimeoutHandler timeouts;
  private final BooleanSupplier manyConnectionsOpen;
  private final Queue<HttpObject> queue = new ArrayDeque<>();
  private Channel channel;
  private Exchange exchange;
  private boolean requestIncomplete;

  /** Written on the event loop only; the end of a drain reads it on another thread. */
  private volatile boolean responsePending;

  private boolean processingPostponed;
  private boolean draining;
  private boolean closing;

  CallerConnection(
      CallerSettings settings,
      CallerDependencies dependencies,
      ReplayBufferBudget replayBudget,
      CallerResponseEncoder encoder,
      RequestTimeoutHandler timeouts,
      BooleanSupplier manyConnectionsOpen) {
    this.replayBudget = replayBudget;
    this.settings = settings;
    this.dependencies = dependencies;
    this.encoder = encoder;
    this.timeouts = timeouts;
    this.manyConnectionsOpen = manyConnectionsOpen;
  }

  /** Whether an exchange is the one whose answer is due. */
  boolean isAwaitingResponseOf(Exchange candidate) {
    return exchange == candidate && responsePending;
  }

  /** Whether a request is in progress; safe to call on any thread. */
  boolean hasRequestInProgress() {
    return responsePending;
  }

  private boolean isIdle() {
    return !requestIncomplete
        && !responsePending
        && queue.isEmpty()
        && !timeouts.hasPartialRequest();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    timeouts.awaitRequest();
    if (draining) {
      scheduleCloseIfIdle();
    }
    ctx.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    releaseQueue();
    if (exchange != null) {
      exchange.onCallerDisconnected();
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
    if (message instanceof HttpRequest && dependencies.processorGuard().isBehind()) {
      postponeProcessing();
    } else if (!processingPostponed) {
      processQueue();
    }
  }

  /**
   * Leaves a request for the next turn of a late event loop. The request may have waited unread for
   * longer than its caller did, and the end of the connection is only seen in that turn.
   */
  private void postponeProcessing() {
    if (processingPostponed) {
      return;
    }
    processingPostponed = true;
    var unused =
        channel
            .eventLoop()
            .schedule(
                () -> {
                  processingPostponed = false;
                  if (!closing) {
                    processQueue();
                  }
                },
                POSTPONE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  private void processQueue() {
    while (!closing && !queue.isEmpty() && (requestIncomplete || !responsePending)) {
      HttpObject message = queue.remove();
      if (requestIncomplete) {
        handleContent((HttpContent) message);
      } else {
        handleHead((HttpRequest) message);
      }
    }
    updateAutoRead();
  }

  /** Reads from the caller only while what arrives can be passed on or held. */
  void updateAutoRead() {
    boolean blocked = exchange != null && exchange.isRequestBodyBlocked();
    channel.config().setAutoRead(closing || (!blocked && queue.size() < MAX_QUEUED_MESSAGES));
  }

  private void handleHead(HttpRequest request) {
    long now = dependencies.nanoTime().getAsLong();
    timeouts.stopWaiting();
    responsePending = true;
    // The decoder ends a message that it could not read by itself.
    requestIncomplete = request.decoderResult().isSuccess();
    boolean http10 = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    boolean keepAlive = requestIncomplete && HttpUtil.isKeepAlive(request) && !draining;
    boolean toHeadRequest = request.method().equals(HttpMethod.HEAD);
    ResponseWriter response =
        new ResponseWriter(channel, encoder, headerDialect(), toHeadRequest, http10, keepAlive);
    try {
      if (!requestIncomplete) {
        ReferenceCountUtil.release(request);
        throw toDecodingFailure(request.decoderResult().cause());
      }
      RequestHead head =
          new RequestHeadReader(
                  dependencies.protocol(),
                  dependencies.timeoutTracker(),
                  dependencies.random().get())
              .read(request, dependencies.configuration().get(), newRequestId(), now);
      checkProcessorDelay(head, now);
      RequestBody body =
          new RequestBody(
              head.hasBody(), head.route().maxBodyBytes(), settings.maxReplayBytes(), replayBudget);
      exchange = new Exchange(this, dependencies, channel.eventLoop(), head, response, body, now);
      exchange.start();
    } catch (FoxtaildoorException e) {
      refuse(response, e, requestIncomplete && RequestHeadReader.hasSmallBody(request));
    }
  }

  private static FoxtaildoorException toDecodingFailure(Throwable cause) {
    return cause instanceof TooLongHttpHeaderException
        ? new FoxtaildoorException(ErrorKind.HEADERS_TOO_LARGE, "the headers are too large", cause)
        : new FoxtaildoorException(ErrorKind.INVALID_INPUT, "the request head is malformed", cause);
  }

  /**
   * Refuses a request that the processor cannot serve in time. A call without a second try is only
   * refused when its caller has probably left already, since its parent would be lost with it.
   */
  private void checkProcessorDelay(RequestHead head, long nowNanos) {
    if (dependencies.processorGuard().waitedPast(head.deadlineNanos() - nowNanos)) {
      throw new FoxtaildoorException(
          ErrorKind.EXPIRED, "the request was not read before its deadline");
    }
    if (head.objectiveNanos().isEmpty()) {
      return;
    }
    boolean missesObjective = head.objectiveNanos().getAsLong() - nowNanos <= 0;
    if (dependencies.processorGuard().refuses(head.route().rank(), missesObjective)) {
      throw new FoxtaildoorException(
          ErrorKind.OVERLOADED, "the node's processor is behind with other requests");
    }
  }

  /** Whether a refused caller is to come back on a new connection. */
  boolean closesAfterRefusal() {
    return manyConnectionsOpen.getAsBoolean();
  }

  private void refuse(
      ResponseWriter response, FoxtaildoorException reason, boolean bodyDiscardable) {
    boolean unreadable =
        reason.kind() == ErrorKind.INVALID_INPUT || reason.kind() == ErrorKind.HEADERS_TOO_LARGE;
    if (!bodyDiscardable || unreadable || closesAfterRefusal()) {
      response.disableKeepAlive();
    }
    dependencies.metrics().requestRefused(reason.kind().headerValue());
    response
        .writeError(
            new ProblemResponses(dependencies.protocol())
                .create(reason.kind(), Outcome.NOT_RUN, reason.getMessage(), newRequestId()))
        .addListener(
            written -> onResponseFinished(null, written.isSuccess() && response.isKeepAlive()));
  }

  private void handleContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    requestIncomplete = !last;
    if (exchange == null) {
      content.release();
    } else if (content.decoderResult().isFailure()) {
      content.release();
      exchange.onMalformedRequestBody();
    } else {
      exchange.onRequestBody(content.content(), last);
    }
    if (content.decoderResult().isFailure() && !responsePending) {
      close();
    } else if (!requestIncomplete && !responsePending) {
      awaitRequest();
    }
  }

  /** Continues after the last byte of an answer was written. */
  void onResponseFinished(Exchange finished, boolean keepAlive) {
    if (closing || exchange != finished) {
      return;
    }
    exchange = null;
    responsePending = false;
    if (!keepAlive || draining) {
      close();
    } else if (requestIncomplete) {
      timeouts.awaitRequestRemainder();
      processQueue();
    } else {
      awaitRequest();
      processQueue();
    }
  }

  private void awaitRequest() {
    if (draining) {
      close();
    } else {
      timeouts.awaitRequest();
    }
  }

  /** Announces the close with the next response, or closes after a quiet time when idle. */
  void beginDrain() {
    draining = true;
    if (exchange != null) {
      exchange.disableKeepAlive();
    }

    if (channel != null) {
      scheduleCloseIfIdle();
    }
  }

  private void scheduleCloseIfIdle() {
    if (isIdle()) {
      ScheduledFuture<?> closeTask =
          channel
              .eventLoop()
              .schedule(
                  this::closeIfIdle, settings.drainIdleDelay().toNanos(), TimeUnit.NANOSECONDS);
      channel.closeFuture().addListener(closed -> closeTask.cancel(false));
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
    timeouts.stopWaiting();
    releaseQueue();
    updateAutoRead();
    ((SocketChannel) channel).shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    ScheduledFuture<?> closeTask =
        channel.eventLoop().schedule(this::closeChannel, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> closeTask.cancel(false));
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == RequestTimeoutHandler.IDLE_TIMEOUT_EVENT) {
      close();
    } else if (event == RequestTimeoutHandler.HEAD_TIMEOUT_EVENT) {
      onHeadTimeout();
    } else {
      ctx.fireUserEventTriggered(event);
    }
  }

  private void onHeadTimeout() {
    if (requestIncomplete || responsePending) {
      // The answer was written already; only the rest of the request is missing.
      close();
      return;
    }
    responsePending = true;
    ResponseWriter response =
        new ResponseWriter(channel, encoder, headerDialect(), false, false, false);
    refuse(
        response,
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

  private HeaderDialect headerDialect() {
    return dependencies.protocol().headers();
  }

  private String newRequestId() {
    return HexFormat.of().toHexDigits(dependencies.random().get().nextLong())
        + HexFormat.of().toHexDigits(dependencies.random().get().nextLong());
  }
}
