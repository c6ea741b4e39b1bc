package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.Outcome;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
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
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Handles one connection of a caller. Requests are processed one at a time and in order; the next
 * one starts after the response to the previous one has been written. All state is confined to the
 * event loop of the connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Number of queued messages of later requests at which reading from the socket pauses. */
  private static final int MAX_QUEUED_MESSAGES = 32;

  /**
   * Time for which input is read and discarded after the last response. Closing the socket with
   * unread input would send a TCP reset, which can destroy the response before the caller has read
   * it.
   */
  private static final long LINGER_MILLIS = 1_000;

  /** Any delay greater than zero makes the event loop poll its sockets before it runs the task. */
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

  /** Written only on the event loop. The drain timeout reads it on another thread. */
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

  /** Returns whether the response to the given exchange is the one to be written next. */
  boolean isAwaitingResponseOf(Exchange candidate) {
    return exchange == candidate && responsePending;
  }

  /** Returns whether a request is in progress. Thread-safe. */
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
    if (message instanceof HttpRequest && dependencies.processorGuard().mayReadStaleRequests()) {
      postponeProcessing();
    } else if (!processingPostponed) {
      processQueue();
    }
  }

  /**
   * Defers a request to the next iteration of an overloaded event loop. The caller may have timed
   * out and disconnected before the request was read, and the event loop notices the closed
   * connection only in that iteration.
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

  /** Enables reading from the caller only while the data can be forwarded or queued. */
  void updateAutoRead() {
    boolean blocked = exchange != null && exchange.isRequestBodyBlocked();
    channel.config().setAutoRead(closing || (!blocked && queue.size() < MAX_QUEUED_MESSAGES));
  }

  private void handleHead(HttpRequest request) {
    long now = dependencies.nanoTime().getAsLong();
    timeouts.stopWaiting();
    responsePending = true;
    // No content follows a message that the decoder could not parse.
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
                  dependencies.random().get(),
                  this::mayBeCall)
              .read(request, dependencies.configuration().get(), this::newRequestId, now);
      checkStop(head, now);
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

  private boolean mayBeCall(ServiceId service, long deadlineNanos) {
    Optional<ServiceId> local =
        dependencies.fleet().self().upstream().map(UpstreamAnnouncement::service);
    return dependencies.retryBudgets().mayBeCall(service, local, deadlineNanos);
  }

  private static FoxtaildoorException toDecodingFailure(Throwable cause) {
    return cause instanceof TooLongHttpHeaderException
        ? new FoxtaildoorException(ErrorKind.HEADERS_TOO_LARGE, "the headers are too large", cause)
        : new FoxtaildoorException(ErrorKind.INVALID_INPUT, "the request head is malformed", cause);
  }

  /** Refuses a request that may not end before the stopping node closes its connections. */
  private void checkStop(RequestHead head, long nowNanos) {
    if (!dependencies.stopAdmission().accepts(head.deadlineNanos(), nowNanos)) {
      throw new FoxtaildoorException(
          ErrorKind.LEAVING, "the node is stopping and may close before the request ends");
    }
  }

  /**
   * Refuses a request that cannot be served in time because the node's processor is overloaded. A
   * request without an objective is assumed not to be retried. It is refused only if its caller has
   * probably timed out already, because a refusal would also fail the request that the caller
   * itself is serving.
   */
  private void checkProcessorDelay(RequestHead head, long nowNanos) {
    if (dependencies.processorGuard().hasProbablyExpired(head.deadlineNanos() - nowNanos)) {
      throw new FoxtaildoorException(
          ErrorKind.EXPIRED, "the deadline expired before the node read the request");
    }
    if (head.objectiveNanos().isEmpty()) {
      return;
    }
    boolean missesObjective = head.objectiveNanos().getAsLong() - nowNanos <= 0;
    if (dependencies.processorGuard().shouldRefuse(head.route().rank(), missesObjective)) {
      throw new FoxtaildoorException(ErrorKind.OVERLOADED, "the node's processor is overloaded");
    }
  }

  /**
   * Returns whether the connection is closed after a refusal, so that the caller opens a new one
   * for a retry.
   */
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

  /** Continues with the next request after a response was written or has failed. */
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

  /**
   * Announces the close of the connection in the next response. An idle connection is closed after
   * the drain's idle delay.
   */
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

  /**
   * Shuts down the output, then discards input until the caller closes the connection or {@link
   * #LINGER_MILLIS} have passed.
   */
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
      // The response was written already; only the rest of the request has not arrived.
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
    // I/O errors such as a reset by the caller are expected; any other exception is a bug.
    Level level = cause instanceof IOException ? Level.DEBUG : Level.WARNING;
    LOGGER.log(level, "caller connection failed", cause);
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
