package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.connection.head.ExchangeResponseDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;

/**
 * A connection to the upstream that carries at most one exchange at a time. It is confined to the
 * pool's event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
    implements ExchangeResponseDecoder.Exchanges {
  /**
   * Bounds the request ids that a connection remembers: 8 KB, for one new connection in 1,000
   * requests.
   */
  private static final int MAX_REQUESTS = 1_000;

  private final UpstreamPool pool;
  private final SentRequestIds sentIds = new SentRequestIds();
  private final StrayBodyScanner strayBody = new StrayBodyScanner();
  private Channel channel;
  private ExchangeResponseDecoder decoder;
  private ExchangeListener listener;
  private boolean headRequest;
  private boolean used;
  private boolean requestWritten;
  private boolean responseComplete;
  private boolean keepAlive;
  private boolean interimResponse;
  private boolean readingStray;
  private boolean strayReceived;
  private long idleSinceNanos;
  private Duration keepAliveTimeout = KeepAlive.UNSPECIFIED;

  /** Receives the events of the exchange that the connection carries. */
  interface ExchangeListener {
    /** At least one byte of the request head was written to the socket. */
    void firstByteWritten();

    /** The whole request head was written. */
    void headWritten();

    /** The connection failed before any byte of the request was written. */
    void requestNotWritten(Throwable cause);

    /** The connection accepts more of the request body. */
    void bodyWritable();

    /** Whether a response belongs to the request of the exchange. */
    boolean isResponseToRequest(HttpResponse httpResponse);

    /**
     * The head of a final or interim response arrived.
     *
     * @return false if the response belongs to another request and must be dropped
     */
    boolean responseHead(HttpResponse httpResponse);

    /**
     * A part of the response body arrived.
     *
     * @param data released by the connection after the call
     * @param end whether this is the last part
     */
    void responseBody(ByteBuf data, boolean end);

    /** The response is not valid HTTP. */
    void responseMalformed(Throwable cause);

    /** The connection closed or failed before the response was complete. */
    void connectionLost(String reason);
  }

  UpstreamConnection(UpstreamPool pool) {
    this.pool = pool;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Creates the decoder of this connection, which precedes it in the pipeline. */
  ExchangeResponseDecoder createDecoder(HttpDecoderConfig config) {
    decoder = new ExchangeResponseDecoder(config, this);
    return decoder;
  }

  @Override
  public boolean hasExchange() {
    return listener != null;
  }

  @Override
  public boolean isResponseToHead(HttpResponse httpResponse) {
    return headRequest && listener != null && listener.isResponseToRequest(httpResponse);
  }

  /**
   * Closes the connection, because bytes without a request in progress belong to no request, and
   * those that follow could be attributed to the wrong one.
   */
  @Override
  public void unexpectedBytesReceived() {
    close();
  }

  boolean isActive() {
    return channel.isActive();
  }

  /**
   * Whether the connection carried an earlier exchange, so the upstream may have closed it since.
   */
  boolean wasUsed() {
    return used;
  }

  /** Whether a response to another request has begun and not ended yet. */
  boolean isReadingStray() {
    return readingStray;
  }

  /** Ids of the requests that were sent on the connection, including the one in progress. */
  SentRequestIds sentIds() {
    return sentIds;
  }

  /**
   * Whether the connection was idle for too long to be reused.
   *
   * @param limit idle timeout of the pool; a shorter keep-alive timeout of the upstream takes
   *     precedence
   */
  boolean isStale(long nowNanos, Duration limit) {
    Duration stated = KeepAlive.reusableTime(keepAliveTimeout);
    Duration shorter = stated.compareTo(limit) < 0 ? stated : limit;
    return nowNanos - idleSinceNanos >= shorter.toNanos();
  }

  void markIdle(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  /**
   * Starts an exchange by writing its request head.
   *
   * @param end whether the request has no body
   */
  void startExchange(
      ExchangeListener newListener, String requestId, HttpRequest head, boolean end) {
    listener = newListener;
    sentIds.add(requestId);
    requestWritten = false;
    responseComplete = false;
    readingStray = false;
    keepAlive = false;
    headRequest = head.method().equals(HttpMethod.HEAD);
    ChannelProgressivePromise promise = channel.newProgressivePromise();
    promise.addListener(new HeadWriteListener(this, newListener, end));
    var unused = channel.writeAndFlush(end ? withoutBody(head) : head, promise);
  }

  private static HttpRequest withoutBody(HttpRequest head) {
    return new DefaultFullHttpRequest(
        head.protocolVersion(),
        head.method(),
        head.uri(),
        Unpooled.EMPTY_BUFFER,
        head.headers(),
        EmptyHttpHeaders.INSTANCE);
  }

  /** The whole request head was written. */
  void headWritten(ExchangeListener exchange, boolean end) {
    used = true;
    exchange.headWritten();
    if (end) {
      requestWritten = true;
      finishIfDone();
    }
  }

  /** The connection failed before any byte of the request head was written. */
  void requestNotWritten(ExchangeListener exchange, Throwable cause) {
    if (listener == exchange) {
      listener = null;
    }
    close();
    exchange.requestNotWritten(cause);
  }

  /**
   * Ends the exchange after an error of the connection. The exchange is detached before the close,
   * because the decoder would take the close for the regular end of a response without a length.
   */
  void fail(Throwable cause) {
    ExchangeListener last = listener;
    listener = null;
    close();
    if (last != null) {
      last.connectionLost("the connection to the upstream failed: " + cause.getMessage());
    }
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /**
   * Writes and releases a part of the request body.
   *
   * @param taken runs when the part was written to the socket
   */
  void writeBody(ByteBuf data, Runnable taken) {
    channel
        .writeAndFlush(new DefaultHttpContent(data))
        .addListener(
            (ChannelFuture written) -> {
              if (written.isSuccess()) {
                taken.run();
              } else {
                fail(written.cause());
              }
            });
  }

  void writeEnd() {
    channel
        .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(
            (ChannelFuture written) -> {
              if (written.isSuccess()) {
                requestWritten = true;
                finishIfDone();
              } else {
                fail(written.cause());
              }
            });
  }

  void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  boolean isReading() {
    return channel.config().isAutoRead();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (listener == null) {
      unexpectedBytesReceived();
      return;
    }
    if (message.decoderResult().isFailure()) {
      ExchangeListener failed = listener;
      abandon();
      failed.responseMalformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpResponse httpResponse) {
      interimResponse = httpResponse.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      keepAlive = HttpUtil.isKeepAlive(httpResponse);
      keepAliveTimeout = KeepAlive.timeout(httpResponse).orElse(keepAliveTimeout);
      readingStray = !listener.responseHead(httpResponse);
      strayReceived |= readingStray;
    }
    if (readingStray) {
      skipStray(message);
      return;
    }
    // The codec adds an empty last content to each interim response; it does not end the exchange.
    if (message instanceof HttpContent content && !interimResponse && listener != null) {
      boolean end = content instanceof LastHttpContent;
      listener.responseBody(content.content(), end);
      if (end && listener != null) {
        responseComplete = true;
        finishIfDone();
      }
    }
  }

  /** Drops a part of a response to another request. */
  private void skipStray(HttpObject message) {
    if (message instanceof HttpResponse) {
      strayBody.reset();
    }
    if (listener != null
        && message instanceof HttpContent content
        && strayBody.findsStatusLine(content.content())) {
      ExchangeListener failed = listener;
      abandon();
      failed.responseMalformed(
          new IllegalStateException("a response to another request contains a status line"));
    }
    readingStray = !(message instanceof LastHttpContent);
  }

  /**
   * Ends the exchange when its response is complete. The connection returns to the pool if it can
   * carry another request; otherwise it closes.
   */
  private void finishIfDone() {
    if (listener == null || !responseComplete) {
      return;
    }
    listener = null;
    if (isReusable()) {
      setReading(true);
      pool.release(this);
    } else {
      close();
    }
  }

  /**
   * Whether the connection can carry another request. An upstream that sent a response to another
   * request, or bytes after the response, may send more of them.
   */
  private boolean isReusable() {
    return requestWritten
        && keepAlive
        && !strayReceived
        && !decoder.hasUndecodedBytes()
        && sentIds.count() < MAX_REQUESTS
        && channel.isActive();
  }

  /** Aborts the exchange and closes the connection. */
  void abandon() {
    listener = null;
    close();
  }

  void close() {
    channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (listener != null && channel.isWritable()) {
      listener.bodyWritable();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ExchangeListener last = listener;
    listener = null;
    if (last != null) {
      last.connectionLost("the upstream closed the connection");
    }
  }
}
