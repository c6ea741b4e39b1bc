package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.connection.head.CharacterClass;
import io.foxtaildoor.connection.head.HeaderList;
import io.foxtaildoor.connection.head.HopByHopHeaders;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Converts between the heads of streams and HTTP/1.1 heads, and removes hop-by-hop headers. */
final class HttpHeadConverter {
  /** Content length of a body whose length is only known when it ends. */
  static final long UNKNOWN_LENGTH = -1;

  private static final int MAX_CONTENT_LENGTH_DIGITS = 18;
  private static final List<String> METHODS_WITH_BODY = List.of("POST", "PUT", "PATCH");

  private HttpHeadConverter() {}

  /**
   * Builds the request for the upstream.
   *
   * @param instance id of the only instance that may run the request; empty if it has no id
   * @param remainingNanos time until the deadline of the request
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the head is malformed
   */
  static HttpRequest toHttpRequest(
      RequestStart head,
      HeaderDialect dialect,
      String authority,
      String instance,
      long remainingNanos) {
    if (!isRequestTarget(head.getTarget())) {
      throw invalidInput("malformed request target");
    }
    try {
      HttpMethod method = HttpMethod.valueOf(head.getMethod());
      if (method.equals(HttpMethod.CONNECT)) {
        throw invalidInput("the method CONNECT is not supported");
      }
      HttpRequest request =
          new DefaultHttpRequest(
              HttpVersion.HTTP_1_1, method, head.getTarget(), HeaderList.FACTORY);
      HttpHeaders headers = request.headers();
      HopByHopHeaders hopByHop = hopByHopHeaders(head.getHeadersList());
      for (Header header : head.getHeadersList()) {
        String name = header.getName();
        if (!isDropped(name, hopByHop) && !name.equalsIgnoreCase("content-length")) {
          headers.add(name, header.getValue());
        }
      }
      if (!headers.contains(HttpHeaderNames.HOST)) {
        headers.set(HttpHeaderNames.HOST, authority);
      }
      setBodyFraming(head, headers);
      setContextHeaders(head, headers, dialect, remainingNanos);
      if (!instance.isEmpty() && !dialect.targetInstance().isEmpty()) {
        headers.set(dialect.targetInstance(), instance);
      }
      return request;
    } catch (IllegalArgumentException e) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "malformed request head: " + e.getMessage(), e);
    }
  }

  private static boolean isRequestTarget(String target) {
    return target.startsWith("/")
        ? CharacterClass.matches(target, 1, target.length(), CharacterClass::isVisible)
        : target.equals("*");
  }

  private static void setBodyFraming(RequestStart head, HttpHeaders headers) {
    long length = contentLength(head);
    if (length != UNKNOWN_LENGTH) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (!head.getEnd()) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    if (head.getEnd()) {
      headers.remove(HttpHeaderNames.EXPECT);
    }
  }

  private static void setContextHeaders(
      RequestStart head, HttpHeaders headers, HeaderDialect dialect, long remainingNanos) {
    if (dialect.sendsCallChain()) {
      headers.set(HeaderNames.DEPTH, head.getDepth() + 1);
      headers.set(HeaderNames.ATTEMPT, head.getAttempt());
      headers.set(HeaderNames.RANK, Rank.of(head.getRankValue()).name().toLowerCase(Locale.ROOT));
    }
    headers.set(dialect.deadlineMillis(), Math.max(1, remainingNanos / 1_000_000));
    headers.set(dialect.requestId(), head.getRequestId());
    if (!head.getIdempotencyKey().isEmpty()) {
      headers.set(HeaderNames.IDEMPOTENCY_KEY, head.getIdempotencyKey());
    }
  }

  /**
   * Returns the declared length of a request body, or {@link #UNKNOWN_LENGTH} if none is declared.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the length is malformed
   *     or contradictory, which could make the upstream parse part of the body as another request
   *     (request smuggling)
   */
  static long contentLength(RequestStart head) {
    long length = UNKNOWN_LENGTH;
    for (Header header : head.getHeadersList()) {
      if (header.getName().equalsIgnoreCase("content-length")) {
        if (!CharacterClass.matches(
            header.getValue(), MAX_CONTENT_LENGTH_DIGITS, CharacterClass::isDigit)) {
          throw invalidInput("malformed content length");
        }
        long declared = Long.parseLong(header.getValue());
        if (length != UNKNOWN_LENGTH && declared != length) {
          throw invalidInput("the request declares different content lengths");
        }
        length = declared;
      }
    }
    if (head.getEnd()) {
      if (length > 0) {
        throw invalidInput("the request declares a content length but has no body");
      }
      boolean methodUsuallyHasBody = METHODS_WITH_BODY.contains(head.getMethod());
      return length == 0 || methodUsuallyHasBody ? 0 : UNKNOWN_LENGTH;
    }
    return length;
  }

  private static FoxtaildoorException invalidInput(String detail) {
    return new FoxtaildoorException(ErrorKind.INVALID_INPUT, detail);
  }

  /** Builds the head of the response stream from the upstream's response. */
  static ResponseStart.Builder toResponseStart(HttpResponse httpResponse) {
    ResponseStart.Builder head = ResponseStart.newBuilder().setStatus(httpResponse.status().code());
    HeaderList headers = (HeaderList) httpResponse.headers();
    HopByHopHeaders hopByHop = HopByHopHeaders.of(headers.getAll(HttpHeaderNames.CONNECTION));
    for (int i = 0; i < headers.size(); i++) {
      if (!isDropped(headers.nameAt(i), hopByHop)) {
        head.addHeaders(
            Header.newBuilder().setName(headers.nameAt(i)).setValue(headers.valueAt(i)));
      }
    }
    return head;
  }

  private static HopByHopHeaders hopByHopHeaders(List<Header> headers) {
    List<String> connection = new ArrayList<>(0);
    for (Header header : headers) {
      if (header.getName().equalsIgnoreCase("connection")) {
        connection.add(header.getValue());
      }
    }
    return HopByHopHeaders.of(connection);
  }

  /**
   * Returns whether a header is not forwarded. A Connection header must not remove Host or
   * Content-Length, which would change the meaning of the message.
   */
  private static boolean isDropped(String name, HopByHopHeaders hopByHop) {
    return hopByHop.contains(name)
        && !name.equalsIgnoreCase("host")
        && !name.equalsIgnoreCase("content-length");
  }
}
