package io.foxtaildoor.connection.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses of one connection to the upstream. Bytes that arrive while no request is in
 * progress are not decoded, because the start of a response that stays in the decoder would be
 * joined with the response to the next request.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
  private final UpstreamConnection connection;

  UpstreamResponseDecoder(HttpDecoderConfig config, UpstreamConnection connection) {
    super(config);
    this.connection = connection;
  }

  /** Whether bytes follow the last message that was decoded. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (connection.hasExchange()) {
      super.channelRead(ctx, message);
    } else {
      ReferenceCountUtil.release(message);
      connection.unexpectedBytesReceived();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message)
        || connection.isResponseToHead((HttpResponse) message);
  }
}
