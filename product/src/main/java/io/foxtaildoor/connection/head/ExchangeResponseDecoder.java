package io.foxtaildoor.connection.head;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses of a client's connection that carries one exchange at a time. Bytes that
 * arrive while no request is in progress are not decoded, because the start of a response that
 * stays in the decoder would be joined with the response to the next request.
 */
public final class ExchangeResponseDecoder extends HttpResponseDecoder {
  private final Exchanges exchanges;

  /** State of the exchanges of one connection. */
  public interface Exchanges {
    /** Whether a request is in progress. */
    boolean hasExchange();

    /** Bytes arrived without a request in progress; the connection must be closed. */
    void unexpectedBytesReceived();

    /**
     * Whether the request in progress is a HEAD request and a response belongs to it, so that no
     * body follows.
     */
    boolean isResponseToHead(HttpResponse response);
  }

  /** Creates the decoder of one connection. */
  public ExchangeResponseDecoder(HttpDecoderConfig config, Exchanges exchanges) {
    super(config);
    this.exchanges = exchanges;
  }

  /** Whether bytes follow the last message that was decoded. */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (exchanges.hasExchange()) {
      super.channelRead(ctx, message);
    } else {
      ReferenceCountUtil.release(message);
      exchanges.unexpectedBytesReceived();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message)
        || exchanges.isResponseToHead((HttpResponse) message);
  }
}
