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
final class Answer {
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  /** Time after which a caller that does not read an error answer is disconnected. */
  private static final int ERROR_WRITE_SECONDS = 5;

  private static final int MIN_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long UNKNOWN_LENGTH = -1;

  private final Channel channel;
  private final CallerResponseEncoder encoder;
  private final HeaderDialect names;
  private final boolean toHead;
  private final boolean http10;
  private boolean keepAlive;
  private boolean started;
  private boolean bodiless;
  private long length = UNKNOWN_LENGTH;
  private long written;

  Answer(
      Channel channel,
      CallerResponseEncoder encoder,
      HeaderDialect names,
      boolean toHead,
      boolean http10,
      boolean keepAlive) {
    this.channel = channel;
    this.encoder = encoder;
    this.names = names;
    this.toHead = toHead;
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
  void closeAfterwards() {
    keepAlive = false;
  }

  /** Tells the caller to send the body. */
  void writeContinue() {
    if (!http10) {
      encoder.nextAnswer(false);
      channel
          .writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
          .addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    }
  }

  /** Writes a whole error answer. */
  ChannelFuture writeError(FullHttpResponse response) {
    started = true;
    encoder.nextAnswer(toHead);
    setConnection(response.headers());
    ChannelFuture written = channel.writeAndFlush(response);
    if (!written.isDone()) {
      ScheduledFuture<?> bound =
          channel.eventLoop().schedule(this::abort, ERROR_WRITE_SECONDS, TimeUnit.SECONDS);
      written.addListener(done -> bound.cancel(false));
    }
    return written;
  }

  /**
   * Writes the head of an upstream's answer.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_UPSTREAM_ANSWER} when it is malformed;
   *     nothing was written then
   */
  void start(ResponseStart head, String requestId) {
    HttpResponse response = response(head);
    int status = head.getStatus();
    bodiless = toHead || status == NO_CONTENT || status == NOT_MODIFIED;
    HttpHeaders headers = response.headers();
    readLength(headers, status);
    if (head.getEnd() && !bodiless) {
      if (length > 0) {
        throw bad("the answer ends before its declared length", null);
      }
      headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
      length = 0;
    } else if (length == UNKNOWN_LENGTH && !bodiless) {
      if (http10) {
        keepAlive = false;
      } else {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      }
    }
    headers.set(names.requestId(), requestId);
    setConnection(headers);
    started = true;
    encoder.nextAnswer(toHead);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private static HttpResponse response(ResponseStart head) {
    if (head.getStatus() < MIN_STATUS || head.getStatus() > MAX_STATUS) {
      throw bad("the answer has status " + head.getStatus(), null);
    }
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.getStatus()));
    List<String> connection = new ArrayList<>();
    for (Header header : head.getHeadersList()) {
      if (header.getName().equalsIgnoreCase("connection")) {
        connection.add(header.getValue());
      }
    }
    try {
      Set<String> removed = CallerHeaders.removed(connection);
      for (Header header : head.getHeadersList()) {
        String name = header.getName().toLowerCase(Locale.ROOT);
        if (!removed.contains(name) && !name.startsWith(HeaderNames.PREFIX)) {
          response.headers().add(header.getName(), header.getValue());
        }
      }
    } catch (IllegalArgumentException | FoxtaildoorException e) {
      throw bad("the answer has a malformed header", e);
    }
    return response;
  }

  private void readLength(HttpHeaders headers, int status) {
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (lengths.isEmpty()) {
      return;
    }
    if (lengths.size() > 1 || !LENGTH.matcher(lengths.get(0)).matches()) {
      throw bad("the answer has a malformed Content-Length", null);
    }
    if (status == NO_CONTENT) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    } else {
      length = Long.parseLong(lengths.get(0));
    }
  }

  private void setConnection(HttpHeaders headers) {
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (http10) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  /** Whether another part of the body fits the declared length. */
  boolean admits(int bytes) {
    return bodiless || length == UNKNOWN_LENGTH || written + bytes <= length;
  }

  /** Whether the body may end now. */
  boolean isComplete() {
    return bodiless || length == UNKNOWN_LENGTH || written == length;
  }

  /** Writes a part of the body; the future completes when the caller's socket took it. */
  ChannelFuture body(ByteBuf data) {
    if (bodiless) {
      data.release();
      return channel.newSucceededFuture();
    }
    written += data.readableBytes();
    return channel.writeAndFlush(new DefaultHttpContent(data));
  }

  /** Ends the answer. */
  ChannelFuture end() {
    return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Resets the connection, so that the part that was written cannot look whole. */
  void abort() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private static FoxtaildoorException bad(String message, Throwable cause) {
    return new FoxtaildoorException(ErrorKind.BAD_UPSTREAM_ANSWER, message, cause);
  }
}
