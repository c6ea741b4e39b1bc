package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.HeaderNames;
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
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Writes the one answer to a request; on the event loop of the caller's connection only. */
final class ResponseWriter {
  private static final Pattern CONTENT_LENGTH_PATTERN = Pattern.compile("[0-9]{1,18}");

  /** Time after which a caller that does not read an error answer is disconnected. */
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

  /** Makes the connection close after this answer; announced when the head is not written yet. */
  void disableKeepAlive() {
    keepAlive = false;
  }

  /** Tells the caller to send the body. */
  void writeContinue() {
    if (!http10) {
      encoder.prepareForResponse(false);
      channel
          .writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
          .addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    }
  }

  /** Writes a whole error answer. */
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
   * Writes the head of an upstream's answer.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_UPSTREAM_ANSWER} when it is malformed;
   *     nothing was written then
   */
  void writeHead(ResponseStart head, String requestId) {
    HttpResponse response = toHttpResponse(head);
    int status = head.getStatus();
    bodyOmitted = toHeadRequest || status == NO_CONTENT || status == NOT_MODIFIED;
    HttpHeaders headers = response.headers();
    readContentLength(headers, status);
    if (head.getEnd() && !bodyOmitted) {
      if (declaredLength > 0) {
        throw malformedResponse("the answer ends before its declared length", null);
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
      throw malformedResponse("the answer has status " + head.getStatus(), null);
    }
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.getStatus()));
    List<String> connectionValues = new ArrayList<>();
    for (Header header : head.getHeadersList()) {
      if (header.getName().equalsIgnoreCase("connection")) {
        connectionValues.add(header.getValue());
      }
    }
    try {
      Set<String> headersToRemove = CallerHeaders.headersToRemove(connectionValues);
      for (Header header : head.getHeadersList()) {
        String name = header.getName().toLowerCase(Locale.ROOT);
        if (!headersToRemove.contains(name) && !name.startsWith(HeaderNames.PREFIX)) {
          response.headers().add(header.getName(), header.getValue());
        }
      }
    } catch (IllegalArgumentException | FoxtaildoorException e) {
      throw malformedResponse("the answer has a malformed header", e);
    }
    return response;
  }

  private void readContentLength(HttpHeaders headers, int status) {
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (lengths.isEmpty()) {
      return;
    }
    if (lengths.size() > 1 || !CONTENT_LENGTH_PATTERN.matcher(lengths.get(0)).matches()) {
      throw malformedResponse("the answer has a malformed Content-Length", null);
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

  /** Whether another part of the body fits the declared length. */
  boolean fitsDeclaredLength(int bytes) {
    return bodyOmitted
        || declaredLength == UNKNOWN_LENGTH
        || writtenBytes + bytes <= declaredLength;
  }

  /** Whether the body may end now. */
  boolean isComplete() {
    return bodyOmitted || declaredLength == UNKNOWN_LENGTH || writtenBytes == declaredLength;
  }

  /** Writes a part of the body; the future completes when the caller's socket took it. */
  ChannelFuture writeBody(ByteBuf data) {
    if (bodyOmitted) {
      data.release();
      return channel.newSucceededFuture();
    }
    writtenBytes += data.readableBytes();
    return channel.writeAndFlush(new DefaultHttpContent(data));
  }

  /** Ends the answer. */
  ChannelFuture writeEnd() {
    return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Resets the connection, so that the part that was written cannot look whole. */
  void abort() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private static FoxtaildoorException malformedResponse(String message, Throwable cause) {
    return new FoxtaildoorException(ErrorKind.BAD_UPSTREAM_ANSWER, message, cause);
  }
}
