package io.foxtaildoor.process.platform;

import io.foxtaildoor.connection.head.ExchangeResponseDecoder;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs HTTP exchanges on one connection, one at a time. If an exchange does not complete, or data
 * arrives while no exchange is pending, the connection is closed and not reused, so that a late
 * response cannot be mistaken for the response to a later request.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write closes the channel.
final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpResponse>
    implements ExchangeResponseDecoder.Exchanges {
  private ChannelHandlerContext context;
  private ExchangeResponseDecoder decoder;
  private Consumer<ExchangeOutcome> pendingCallback;
  private Future<?> timeout;

  /** Creates the decoder of this connection, which precedes the handler in the pipeline. */
  ExchangeResponseDecoder createDecoder() {
    decoder = new ExchangeResponseDecoder(new HttpDecoderConfig(), this);
    return decoder;
  }

  @Override
  public boolean hasExchange() {
    return pendingCallback != null;
  }

  @Override
  public void unexpectedBytesReceived() {
    abort("bytes without a request in progress");
  }

  @Override
  public boolean isResponseToHead(HttpResponse response) {
    return false;
  }

  /**
   * Sends a request; must be called on the channel's event loop. The callback is invoked exactly
   * once.
   */
  void send(FullHttpRequest request, long timeoutNanos, Consumer<ExchangeOutcome> callback) {
    pendingCallback = callback;
    timeout =
        context
            .executor()
            .schedule(
                () -> abort("timed out waiting for the response", true),
                timeoutNanos,
                TimeUnit.NANOSECONDS);
    context
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                abort("writing the request failed: " + written.cause());
              }
            });
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    if (pendingCallback == null || response.decoderResult().isFailure()) {
      abort("malformed or unexpected response");
      return;
    }
    byte[] body = new byte[response.content().readableBytes()];
    response.content().readBytes(body);
    if (!HttpUtil.isKeepAlive(response) || decoder.hasUndecodedBytes()) {
      ctx.close();
    }
    complete(new ExchangeOutcome.Answered(response.status().code(), body));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    abort("connection closed before the response was received");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    abort(cause.toString());
  }

  private void abort(String reason) {
    abort(reason, false);
  }

  private void abort(String reason, boolean timedOut) {
    context.close();
    complete(new ExchangeOutcome.Failed(reason, timedOut));
  }

  private void complete(ExchangeOutcome outcome) {
    Consumer<ExchangeOutcome> callback = pendingCallback;
    if (callback != null) {
      pendingCallback = null;
      timeout.cancel(false);
      callback.accept(outcome);
    }
  }
}
