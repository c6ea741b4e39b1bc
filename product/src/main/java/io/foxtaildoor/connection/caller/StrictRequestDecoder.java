package io.foxtaildoor.connection.caller;

import io.foxtaildoor.connection.head.HeaderList;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * HTTP request decoder that rejects ambiguous framing, such as a message with both Content-Length
 * and Transfer-Encoding.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 16 * 1024;

  StrictRequestDecoder(int maxRequestLineBytes, int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxRequestLineBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setHeadersFactory(HeaderList.FACTORY)
            .setStrictLineParsing(true)
            .setUseRfc9112TransferEncoding(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("the request has both Content-Length and Transfer-Encoding");
  }
}
