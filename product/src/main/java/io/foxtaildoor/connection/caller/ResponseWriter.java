package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.connection.head.CharacterClass;
import io.foxtaildoor.connection.head.HeaderList;
import io.foxtaildoor.connection.head.HopByHopHeaders;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.ResponseStart;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Writes the response to one request. Must be used on the event loop of the caller's connection
 * only.
 */
final class ResponseWriter {
  private static final int MAX_CONTENT_LENGTH_DIGITS = 18;

  /** Time after which a caller that does not read an error response is disconnected. */
  private static final int ERROR_WRITE_TIMEOUT_SECONDS = 5;

  private static final int MIN_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long UNKNOWN_LENGTH = -1;

  private final Channel channel;
  private final CallerResponseEncoder encoder;
  private final HeaderDialect headerNames;
  private final boolean toHeadRequest;
  private final boolean http10;
  private boolean keepAlive;
  private boolean started;
  private boolean bodyOmitted;
  private long declaredLength = UNKNOWN_LENGTH;
  private long writtenBytes;

  ResponseWriter(
      Channel channel,
      CallerResponseEncoder encoder,
      HeaderDialect headerNames,
      boolean toHeadRequest,
      boolean http10,
      boolean keepAlive) {
    this.channel = channel;
    this.encoder = encoder;
    this.headerNames = headerNames;
    this.toHeadRequest = toHeadRequest;
    this.http10 = http10;
    this.keepAlive = keepAlive;
  }

  boolean isStarted() {
    return started;
  }

  boolean isKeepAlive() {
    return keepAlive;
  }

  /**
   * Closes the connection after this response. If the head has not been written yet, it announces
   * this with {@code Connection: close}.
   */
  void disableKeepAlive() {
    keepAlive = false;
  }

  /** Writes a 100 (Continue) response, so that the caller sends the body; HTTP/1.0 has none. */
  void writeContinue() {
    if (!http10) {
      encoder.prepareForResponse(false);
      channel
          .writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
          .addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    }
  }

  /** Writes a complete error response. */
  ChannelFuture writeError(FullHttpResponse response) {
    started = true;
    encoder.prepareForResponse(toHeadRequest);
    setConnectionHeader(response.headers());
    ChannelFuture written = channel.writeAndFlush(response);
    if (!written.isDone()) {
      ScheduledFuture<?> timeoutTask =
          channel.eventLoop().schedule(this::abort, ERROR_WRITE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      written.addListener(done -> timeoutTask.cancel(false));
    }
    return written;
  }

  /**
   * Writes the head of an upstream's response.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_UPSTREAM_ANSWER} when the head is
   *     malformed; nothing has been written in this case
   */
  void writeHead(ResponseStart head, String requestId) {
    HttpResponse response = toHttpResponse(head);
    int status = head.getStatus();
    bodyOmitted = toHeadRequest || status == NO_CONTENT || status == NOT_MODIFIED;
    HttpHeaders headers = response.headers();
    readContentLength(headers, status);
    if (head.getEnd() && !bodyOmitted) {
      if (declaredLength > 0) {
        throw malformedResponse("the response ended before its declared length", null);
      }
      headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
      declaredLength = 0;
    } else if (declaredLength == UNKNOWN_LENGTH && !bodyOmitted) {
      if (http10) {
        keepAlive = false;
      } else {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      }
    }
    headers.set(headerNames.requestId(), requestId);
    setConnectionHeader(headers);
    started = true;
    encoder.prepareForResponse(toHeadRequest);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private static HttpResponse toHttpResponse(ResponseStart head) {
    if (head.getStatus() < MIN_STATUS || head.getStatus() > MAX_STATUS) {
      throw malformedResponse("the response has the unsupported status " + head.getStatus(), null);
    }
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.getStatus()), HeaderList.FACTORY);
    List<String> connectionValues = new ArrayList<>(0);
    for (Header header : head.getHeadersList()) {
      if (header.getName().equalsIgnoreCase("connection")) {
        connectionValues.add(header.getValue());
      }
    }
    try {
      HopByHopHeaders hopByHop = CallerHeaders.hopByHop(connectionValues);
      for (Header header : head.getHeadersList()) {
        String name = header.getName();
        if (!hopByHop.contains(name)
            && !name.equalsIgnoreCase("expect")
            && !CallerHeaders.isOwn(name)) {
          response.headers().add(name, header.getValue());
        }
      }
    } catch (IllegalArgumentException | FoxtaildoorException e) {
      throw malformedResponse("the response has a malformed header", e);
    }
    return response;
  }

  private void readContentLength(HttpHeaders headers, int status) {
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (lengths.isEmpty()) {
      return;
    }
    if (lengths.size() > 1
        || !CharacterClass.matches(
            lengths.get(0), MAX_CONTENT_LENGTH_DIGITS, CharacterClass::isDigit)) {
      throw malformedResponse("the response has a malformed or repeated Content-Length", null);
    }
    if (status == NO_CONTENT) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    } else {
      declaredLength = Long.parseLong(lengths.get(0));
    }
  }

  private void setConnectionHeader(HttpHeaders headers) {
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (http10) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  /** Returns whether a further body part of the given size stays within the declared length. */
  boolean fitsDeclaredLength(int bytes) {
    return bodyOmitted
        || declaredLength == UNKNOWN_LENGTH
        || writtenBytes + bytes <= declaredLength;
  }

  /** Returns whether the body has its declared length, or may end anywhere. */
  boolean isComplete() {
    return bodyOmitted || declaredLength == UNKNOWN_LENGTH || writtenBytes == declaredLength;
  }

  /**
   * Writes a part of the body. The future completes once the data was written to the caller's
   * socket.
   */
  ChannelFuture writeBody(ByteBuf data) {
    if (bodyOmitted) {
      data.release();
      return channel.newSucceededFuture();
    }
    writtenBytes += data.readableBytes();
    return channel.writeAndFlush(new DefaultHttpContent(data));
  }

  /** Writes the end of the response. */
  ChannelFuture writeEnd() {
    return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /**
   * Resets the TCP connection, so that the caller cannot take a truncated response for a complete
   * one.
   */
  void abort() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private static FoxtaildoorException malformedResponse(String message, Throwable cause) {
    return new FoxtaildoorException(ErrorKind.BAD_UPSTREAM_ANSWER, message, cause);
  }
}
