package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Netty handler that routes each request of a connection and writes the response. */
final class OperatorChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOGGER = System.getLogger(OperatorChannelHandler.class.getName());

  private final OperatorListener listener;
  private final OperatorRouter router;

  OperatorChannelHandler(OperatorListener listener, OperatorRouter router) {
    this.listener = listener;
    this.router = router;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    // Stops reading until the response is sent, so that pipelined requests are answered in order.
    context.channel().config().setAutoRead(false);
    listener.requestStarted();
    boolean keepAlive = HttpUtil.isKeepAlive(request) && !listener.isDraining();
    dispatch(context, request)
        .exceptionally(OperatorChannelHandler::problemResponse)
        .whenComplete(
            (response, error) ->
                context.executor().execute(() -> write(context, response, keepAlive)));
  }

  private CompletableFuture<OperatorResponse> dispatch(
      ChannelHandlerContext context, FullHttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      return CompletableFuture.completedFuture(
          OperatorResponse.problem(ErrorKind.INVALID_INPUT, "the request is malformed"));
    }
    try {
      QueryStringDecoder uri = new QueryStringDecoder(request.uri());
      String method = request.method().name();
      OperatorRouter.Match match = router.find(method, uri.path());
      return match
          .handler()
          .handle(
              new OperatorRequest(
                  method,
                  uri.path(),
                  match.variables(),
                  uri.parameters(),
                  request.headers(),
                  ByteBufUtil.getBytes(request.content()),
                  (InetSocketAddress) context.channel().remoteAddress()));
    } catch (FoxtaildoorException | IllegalArgumentException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static OperatorResponse problemResponse(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    if (cause instanceof FoxtaildoorException failure) {
      return OperatorResponse.problem(failure.kind(), failure.getMessage());
    }
    if (cause instanceof IllegalArgumentException) {
      return OperatorResponse.problem(ErrorKind.INVALID_INPUT, cause.getMessage());
    }
    LOGGER.log(Level.ERROR, "an operator request failed", cause);
    return OperatorResponse.problem(ErrorKind.INTERNAL, "the request failed; see the log");
  }

  private void write(ChannelHandlerContext context, OperatorResponse answer, boolean keepAlive) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
    HttpUtil.setContentLength(response, answer.body().length);
    HttpUtil.setKeepAlive(response, keepAlive);
    context
        .writeAndFlush(response)
        .addListener(
            future -> {
              listener.requestFinished();
              context.channel().config().setAutoRead(true);
            })
        .addListener(
            keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof IdleStateEvent) {
      context.close();
    } else {
      super.userEventTriggered(context, event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOGGER.log(Level.DEBUG, "operator connection failed", cause);
    context.close();
  }
}
