package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.common.Rank;
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
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Turns heads of streams into HTTP/1.1 heads and back, without hop-by-hop headers. */
final class HeaderRules {
  /** Body length is not known before its end. */
  static final long UNKNOWN_LENGTH = -1;

  private static final Pattern TARGET = Pattern.compile("(/[\\x21-\\x7e]*|\\*)");
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  private HeaderRules() {}

  /**
   * Builds the request for the upstream.
   *
   * @param instance instance that may run the request; empty when it has no id
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the head is malformed
   */
  static HttpRequest request(
      RequestStart head,
      HeaderDialect dialect,
      String authority,
      String instance,
      long remainingNanos) {
    if (!TARGET.matcher(head.getTarget()).matches()) {
      throw invalid("malformed request target");
    }
    try {
      HttpMethod method = HttpMethod.valueOf(head.getMethod());
      if (method.equals(HttpMethod.CONNECT)) {
        throw invalid("CONNECT is not passed on");
      }
      HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, head.getTarget());
      HttpHeaders headers = request.headers();
      Set<String> dropped = connectionHeaders(head.getHeadersList());
      for (Header header : head.getHeadersList()) {
        String name = header.getName().toLowerCase(Locale.ROOT);
        if (!dropped.contains(name) && !name.equals("content-length")) {
          headers.add(header.getName(), header.getValue());
        }
      }
      if (!headers.contains(HttpHeaderNames.HOST)) {
        headers.set(HttpHeaderNames.HOST, authority);
      }
      frame(head, headers);
      context(head, headers, dialect, remainingNanos);
      if (!instance.isEmpty() && !dialect.targetInstance().isEmpty()) {
        headers.set(dialect.targetInstance(), instance);
      }
      return request;
    } catch (IllegalArgumentException e) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "malformed request head: " + e.getMessage(), e);
    }
  }

  private static void frame(RequestStart head, HttpHeaders headers) {
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

  private static void context(
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
   * Declared length of a request body; {@link #UNKNOWN_LENGTH} when it is not declared.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it is malformed or
   *     contradicts itself, which could make the upstream see another request in the body
   */
  static long contentLength(RequestStart head) {
    long length = UNKNOWN_LENGTH;
    for (Header header : head.getHeadersList()) {
      if (header.getName().equalsIgnoreCase("content-length")) {
        if (!LENGTH.matcher(header.getValue()).matches()) {
          throw invalid("malformed content length");
        }
        long declared = Long.parseLong(header.getValue());
        if (length != UNKNOWN_LENGTH && declared != length) {
          throw invalid("contradictory content lengths");
        }
        length = declared;
      }
    }
    if (head.getEnd()) {
      if (length > 0) {
        throw invalid("content length without a body");
      }
      boolean bodyUsual = Set.of("POST", "PUT", "PATCH").contains(head.getMethod());
      return length == 0 || bodyUsual ? 0 : UNKNOWN_LENGTH;
    }
    return length;
  }

  private static FoxtaildoorException invalid(String detail) {
    return new FoxtaildoorException(ErrorKind.INVALID_INPUT, detail);
  }

  /** Builds the head of the answer. */
  static ResponseStart.Builder response(HttpResponse answer) {
    ResponseStart.Builder head = ResponseStart.newBuilder().setStatus(answer.status().code());
    List<Header> all = answer.headers().entries().stream().map(HeaderRules::header).toList();
    Set<String> dropped = connectionHeaders(all);
    for (Header header : all) {
      if (!dropped.contains(header.getName().toLowerCase(Locale.ROOT))) {
        head.addHeaders(header);
      }
    }
    return head;
  }

  private static Header header(Map.Entry<String, String> entry) {
    return Header.newBuilder().setName(entry.getKey()).setValue(entry.getValue()).build();
  }

  /** The hop-by-hop headers and those that a {@code Connection} header names. */
  private static Set<String> connectionHeaders(List<Header> headers) {
    Set<String> names = new HashSet<>(HeaderNames.HOP_BY_HOP);
    for (Header header : headers) {
      if (header.getName().equalsIgnoreCase("connection")) {
        for (String name : header.getValue().split(",", -1)) {
          names.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    // A request without its host or length would be another request.
    names.remove("host");
    names.remove("content-length");
    return names;
  }
}
