package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.WireRank;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.VersionStamp;
import io.foxtaildoor.version.routing.Route;
import io.foxtaildoor.version.routing.Service;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

/** Checks the head of a request and finds its route in one version; no I/O, no clock. */
final class RequestHeadReader {
  /** Longest call chain that the mesh serves. */
  static final int MAX_DEPTH = 27;

  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");
  private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._~:+/=-]{1,128}");
  private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");

  private final CallerProtocol protocol;
  private final CallerPatience patience;
  private final RandomGenerator random;

  /**
   * Creates a reader.
   *
   * @param random chooses among the services of a split
   */
  RequestHeadReader(CallerProtocol protocol, CallerPatience patience, RandomGenerator random) {
    this.protocol = protocol;
    this.patience = patience;
    this.random = random;
  }

  /**
   * Reads a head.
   *
   * @param newId id for a request without one
   * @throws FoxtaildoorException with the kind of the refusal; the request has not run
   */
  RequestHead read(
      HttpRequest request, ConfigurationSnapshot configuration, String newId, long nowNanos) {
    checkFraming(request);
    HttpHeaders headers = request.headers();
    RequestTarget target = RequestTarget.of(request.uri(), single(headers, "host"));
    int depth = number(headers, HeaderNames.DEPTH, 0);
    require(depth <= MAX_DEPTH, "the call chain is deeper than " + MAX_DEPTH);
    String key = matching(headers, HeaderNames.IDEMPOTENCY_KEY, KEY, "");
    String id = matching(headers, protocol.headers().requestId(), REQUEST_ID, newId);
    Set<String> removed = CallerHeaders.removed(headers);

    Route route = route(request, configuration, target);
    ServiceId service = route.chooseService(random);
    String caller = caller(headers);
    checkCaller(configuration, service, caller);
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > route.maxBodyBytes()) {
      throw new FoxtaildoorException(
          ErrorKind.BODY_TOO_LARGE, "the body exceeds " + route.maxBodyBytes() + " bytes");
    }
    boolean hasBody = length > 0 || HttpUtil.isTransferEncodingChunked(request);
    RequestStart.Builder message =
        RequestStart.newBuilder()
            .setRequestId(id)
            .setService(service.value())
            .setRoute(route.name())
            .setConfigVersion(configuration.stamp().version())
            .setMethod(request.method().name())
            .setTarget(target.target())
            .setIdempotent(route.idempotent())
            .setRank(wire(route.rank()))
            .setDepth(depth)
            .setIdempotencyKey(key)
            .setEnd(!hasBody);
    addHeaders(message, headers, removed);
    if (protocol.localCaller().isPresent()) {
      message.addHeaders(Header.newBuilder().setName(protocol.headers().caller()).setValue(caller));
    }
    return new RequestHead(
        message.build(),
        route,
        service,
        nowNanos + allowedNanos(headers, route),
        objectiveNanos(headers, route, nowNanos),
        hasBody,
        hasSmallBody(request),
        HttpUtil.is100ContinueExpected(request));
  }

  /** Whether the rest of a request can be read and dropped at little cost. */
  static boolean hasSmallBody(HttpRequest request) {
    return !HttpUtil.isTransferEncodingChunked(request)
        && !request.headers().contains(HttpHeaderNames.EXPECT)
        && HttpUtil.getContentLength(request, 0L) <= RequestHead.SMALL_BODY_BYTES;
  }

  /** Refuses what another server could frame differently, which would allow request smuggling. */
  private static void checkFraming(HttpRequest request) {
    HttpVersion version = request.protocolVersion();
    require(
        version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0),
        "the protocol version must be HTTP/1.0 or HTTP/1.1");
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!encodings.isEmpty()) {
      require(
          encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked"),
          "the only supported transfer encoding is \"chunked\"");
      require(version.equals(HttpVersion.HTTP_1_1), "HTTP/1.0 has no transfer encoding");
    }
    require(
        headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1,
        "the request has several Content-Length headers");
    require(!request.method().equals(HttpMethod.CONNECT), "CONNECT is not supported");
    String expect = single(headers, "expect");
    require(
        expect == null || expect.equalsIgnoreCase("100-continue"),
        "the only supported expectation is \"100-continue\"");
  }

  private static Route route(
      HttpRequest request, ConfigurationSnapshot configuration, RequestTarget target) {
    if (configuration.stamp().equals(VersionStamp.NONE)) {
      throw new FoxtaildoorException(
          ErrorKind.NOT_READY, "the node has not received a configuration yet");
    }
    return configuration
        .routes()
        .find(target.host(), request.method().name(), target.path())
        .orElseThrow(
            () -> new FoxtaildoorException(ErrorKind.NOT_FOUND, "no route matches the request"));
  }

  /** The calling service; empty for a caller outside the mesh. */
  private String caller(HttpHeaders headers) {
    return protocol
        .localCaller()
        .map(ServiceId::value)
        .orElseGet(() -> orEmpty(single(headers, protocol.headers().caller())));
  }

  private static String orEmpty(String value) {
    return value == null ? "" : value;
  }

  private static void checkCaller(
      ConfigurationSnapshot configuration, ServiceId target, String caller) {
    Service service = configuration.routes().service(target).orElseThrow();
    if (!service.admits(caller)) {
      throw new FoxtaildoorException(
          ErrorKind.CALLER_NOT_ALLOWED,
          "service " + service.id() + " does not admit caller \"" + caller + "\"");
    }
  }

  private long allowedNanos(HttpHeaders headers, Route route) {
    long allowed = route.deadline().toNanos();
    int millis = number(headers, protocol.headers().deadlineMillis(), Integer.MAX_VALUE);
    return Math.min(allowed, TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private static WireRank wire(Rank rank) {
    return switch (rank) {
      case URGENT -> WireRank.URGENT;
      case HIGH -> WireRank.HIGH;
      case NORMAL -> WireRank.NORMAL;
      case LOW -> WireRank.LOW;
    };
  }

  private OptionalLong objectiveNanos(HttpHeaders headers, Route route, long nowNanos) {
    if (route.objective().isZero()) {
      return OptionalLong.empty();
    }
    int left = number(headers, protocol.headers().deadlineMillis(), 0);
    int longest = patience.longestMillis(route.name(), left);
    if (longest <= protocol.retryAfter().toMillis()) {
      // Such a caller cannot come back after a refusal, so an answer past the objective counts too.
      return OptionalLong.empty();
    }
    long elapsed = TimeUnit.MILLISECONDS.toNanos(CallerPatience.elapsedMillis(longest, left));
    return OptionalLong.of(nowNanos + route.objective().toNanos() - elapsed);
  }

  private void addHeaders(RequestStart.Builder message, HttpHeaders headers, Set<String> removed) {
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!removed.contains(name) && !protocol.headers().isSetByNode(name)) {
        message.addHeaders(Header.newBuilder().setName(name).setValue(header.getValue()));
      }
    }
  }

  /** The value of a header that may occur once; null when it is absent. */
  private static String single(HttpHeaders headers, String name) {
    List<String> values = headers.getAll(name);
    require(values.size() <= 1, "the request has several " + name + " headers");
    return values.isEmpty() ? null : values.get(0);
  }

  private static int number(HttpHeaders headers, String name, int absent) {
    String value = single(headers, name);
    if (value == null) {
      return absent;
    }
    require(NUMBER.matcher(value).matches(), name + " must be a whole number");
    return Integer.parseInt(value);
  }

  private static String matching(HttpHeaders headers, String name, Pattern pattern, String absent) {
    String value = single(headers, name);
    if (value == null) {
      return absent;
    }
    require(pattern.matcher(value).matches(), name + " is malformed");
    return value;
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, message);
    }
  }
}
