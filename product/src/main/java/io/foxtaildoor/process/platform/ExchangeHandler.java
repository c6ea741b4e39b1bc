package io.foxtaildoor.process.platform;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs one exchange at a time on a connection. A connection on which an exchange did not finish, or
 * on which anything arrives between exchanges, is closed and never used again, so that a late
 * response cannot be taken for the response to another request.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write closes the channel.
final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
  private ChannelHandlerContext context;
  private Consumer<Attempt> pending;
  private Future<?> timeout;

  /** Sends a request on the channel's event loop; the consumer is called once. */
  void begin(FullHttpRequest request, long timeoutNanos, Consumer<Attempt> done) {
    pending = done;
    timeout =
        context
            .executor()
            .schedule(() -> abort("no answer in time"), timeoutNanos, TimeUnit.NANOSECONDS);
    context
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                abort("write failed: " + written.cause());
              }
            });
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    if (pending == null || response.decoderResult().isFailure()) {
      abort("malformed answer");
      return;
    }
    byte[] body = new byte[response.content().readableBytes()];
    response.content().readBytes(body);
    if (!HttpUtil.isKeepAlive(response)) {
      ctx.close();
    }
    finish(new Attempt.Answered(response.status().code(), body));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    abort("connection closed before the answer");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    abort(cause.toString());
  }

  private void abort(String reason) {
    context.close();
    finish(new Attempt.Broken(reason));
  }

  private void finish(Attempt attempt) {
    Consumer<Attempt> done = pending;
    if (done != null) {
      pending = null;
      timeout.cancel(false);
      done.accept(attempt);
    }
  }
}
