package io.foxtaildoor.process.load;

import io.foxtaildoor.common.HeaderNames;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;

/** Netty handler that passes the responses of one connection to its pool. */
final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
  /** Header with the id that matches a response to its request. */
  static final String ECHO_HEADER = "x-echo-id";

  private final ConnectionPool pool;

  ResponseHandler(ConnectionPool pool) {
    this.pool = pool;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    if (response.decoderResult().isFailure()) {
      fail(context, Failure.MALFORMED_ANSWER);
      return;
    }
    HttpHeaders headers = response.headers();
    StreamRecorder.Answer answer =
        new StreamRecorder.Answer(
            response.status().code(),
            headers.get(HeaderNames.ERROR),
            headers.get(HeaderNames.OUTCOME),
            headers.get(ECHO_HEADER));
    pool.onResponse(context.channel(), answer, HttpUtil.isKeepAlive(response));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.onClosed(context.channel(), Failure.CONNECTION_LOST);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    boolean malformed = cause instanceof DecoderException;
    fail(context, malformed ? Failure.MALFORMED_ANSWER : Failure.CONNECTION_LOST);
  }

  private void fail(ChannelHandlerContext context, Failure failure) {
    pool.onClosed(context.channel(), failure);
    ChannelFuture unused = context.close();
  }
}
