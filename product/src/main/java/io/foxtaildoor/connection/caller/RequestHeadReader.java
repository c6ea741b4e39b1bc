package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.connection.head.CharacterClass;
import io.foxtaildoor.connection.head.HeaderList;
import io.foxtaildoor.connection.head.HopByHopHeaders;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.WireRank;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.VersionStamp;
import io.foxtaildoor.version.routing.Route;
import io.foxtaildoor.version.routing.Service;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Validates the head of a request and finds its route in one configuration version. Uses neither
 * I/O nor a clock.
 */
final class RequestHeadReader {
  /** Largest depth of a call chain that the mesh accepts. */
  static final int MAX_CALL_DEPTH = 27;

  private static final int MAX_NUMBER_DIGITS = 9;
  private static final int MAX_REQUEST_ID_LENGTH = 128;
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

  private final CallerProtocol protocol;
  private final CallerTimeoutTracker timeoutTracker;
  private final RandomGenerator random;
  private final CallCheck callCheck;

  /** Tells whether the upstream on this host may have made a request. */
  @FunctionalInterface
  interface CallCheck {
    /** Returns whether a request to a service with a deadline in monotonic time may be a call. */
    boolean mayBeCall(ServiceId service, long deadlineNanos);
  }

  /**
   * Creates a reader.
   *
   * @param random used to choose among the services of a traffic split
   */
  RequestHeadReader(
      CallerProtocol protocol,
      CallerTimeoutTracker timeoutTracker,
      RandomGenerator random,
      CallCheck callCheck) {
    this.protocol = protocol;
    this.timeoutTracker = timeoutTracker;
    this.random = random;
    this.callCheck = callCheck;
  }

  /**
   * Validates a request head and builds the message for the upstream's node.
   *
   * @param newRequestId creates the id of a request that has none
   * @throws FoxtaildoorException with the kind of the error; the request has not run
   */
  RequestHead read(
      HttpRequest request,
      ConfigurationSnapshot configuration,
      Supplier<String> newRequestId,
      long nowNanos) {
    checkFraming(request);
    HeaderList headers = (HeaderList) request.headers();
    RequestTarget target = RequestTarget.parse(request.uri(), singleHeader(headers, "host"));
    int depth = numberHeader(headers, HeaderNames.DEPTH, 0);
    require(depth <= MAX_CALL_DEPTH, "the call chain is deeper than " + MAX_CALL_DEPTH);
    String key =
        textHeader(
            headers,
            HeaderNames.IDEMPOTENCY_KEY,
            MAX_IDEMPOTENCY_KEY_LENGTH,
            CharacterClass::isVisible);
    String id =
        textHeader(
            headers,
            protocol.headers().requestId(),
            MAX_REQUEST_ID_LENGTH,
            CharacterClass::isRequestId);
    HopByHopHeaders hopByHop = CallerHeaders.hopByHop(headers.getAll(HttpHeaderNames.CONNECTION));

    Route route = findRoute(request, configuration, target);
    ServiceId service = route.chooseService(random);
    String caller = callerService(headers);
    checkCallerAllowed(configuration, service, caller);
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > route.maxBodyBytes()) {
      throw new FoxtaildoorException(
          ErrorKind.BODY_TOO_LARGE, "the body exceeds " + route.maxBodyBytes() + " bytes");
    }
    boolean hasBody = length > 0 || HttpUtil.isTransferEncodingChunked(request);
    RequestStart.Builder message =
        RequestStart.newBuilder()
            .setRequestId(id == null ? newRequestId.get() : id)
            .setService(service.value())
            .setRoute(route.name())
            .setConfigVersion(configuration.stamp().version())
            .setMethod(request.method().name())
            .setTarget(target.target())
            .setIdempotent(route.idempotent())
            .setRank(toWireRank(route.rank()))
            .setDepth(depth)
            .setIdempotencyKey(orEmpty(key))
            .setEnd(!hasBody);
    addHeaders(message, headers, hopByHop);
    if (protocol.localCaller().isPresent()) {
      message.addHeaders(Header.newBuilder().setName(protocol.headers().caller()).setValue(caller));
    }
    long deadlineNanos = nowNanos + requestTimeoutNanos(headers, route);
    boolean mayBeCall = callCheck.mayBeCall(service, deadlineNanos);
    return new RequestHead(
        message.build(),
        route,
        service,
        deadlineNanos,
        objectiveNanos(headers, route, mayBeCall, nowNanos),
        hasBody,
        hasSmallBody(request),
        HttpUtil.is100ContinueExpected(request));
  }

  /** Returns whether the body of a request is small enough to be read and discarded. */
  static boolean hasSmallBody(HttpRequest request) {
    return !HttpUtil.isTransferEncodingChunked(request)
        && !request.headers().contains(HttpHeaderNames.EXPECT)
        && HttpUtil.getContentLength(request, 0L) <= RequestHead.MAX_SMALL_BODY_BYTES;
  }

  /**
   * Rejects requests whose framing another server could interpret differently, which would allow
   * request smuggling.
   */
  private static void checkFraming(HttpRequest request) {
    HttpVersion version = request.protocolVersion();
    require(
        version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0),
        "the protocol version must be HTTP/1.0 or HTTP/1.1");
    HeaderList headers = (HeaderList) request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!encodings.isEmpty()) {
      require(
          encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked"),
          "the only supported transfer encoding is \"chunked\"");
      require(version.equals(HttpVersion.HTTP_1_1), "HTTP/1.0 does not support transfer encodings");
    }
    require(
        headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1,
        "the request has several Content-Length headers");
    require(!request.method().equals(HttpMethod.CONNECT), "CONNECT is not supported");
    String expect = singleHeader(headers, "expect");
    require(
        expect == null || expect.equalsIgnoreCase("100-continue"),
        "the only supported expectation is \"100-continue\"");
  }

  private static Route findRoute(
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

  /** Returns the name of the calling service, or an empty string for a caller outside the mesh. */
  private String callerService(HeaderList headers) {
    return protocol
        .localCaller()
        .map(ServiceId::value)
        .orElseGet(() -> orEmpty(singleHeader(headers, protocol.headers().caller())));
  }

  private static String orEmpty(String value) {
    return value == null ? "" : value;
  }

  private static void checkCallerAllowed(
      ConfigurationSnapshot configuration, ServiceId target, String caller) {
    Service service = configuration.routes().service(target).orElseThrow();
    if (!service.admits(caller)) {
      throw new FoxtaildoorException(
          ErrorKind.CALLER_NOT_ALLOWED,
          "service " + service.id() + " does not allow caller \"" + caller + "\"");
    }
  }

  private long requestTimeoutNanos(HeaderList headers, Route route) {
    long routeTimeoutNanos = route.deadline().toNanos();
    int millis = numberHeader(headers, protocol.headers().deadlineMillis(), Integer.MAX_VALUE);
    return Math.min(routeTimeoutNanos, TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private static WireRank toWireRank(Rank rank) {
    return switch (rank) {
      case URGENT -> WireRank.URGENT;
      case HIGH -> WireRank.HIGH;
      case NORMAL -> WireRank.NORMAL;
      case LOW -> WireRank.LOW;
    };
  }

  private OptionalLong objectiveNanos(
      HeaderList headers, Route route, boolean mayBeCall, long nowNanos) {
    if (route.objective().isZero()) {
      return OptionalLong.empty();
    }
    int remainingMillis = numberHeader(headers, protocol.headers().deadlineMillis(), 0);
    int longestMillis = timeoutTracker.updateLongestTimeout(route.name(), remainingMillis);
    boolean usedByClients = timeoutTracker.updateClientUse(route.name(), mayBeCall, nowNanos);
    if (!usedByClients && longestMillis <= protocol.retryAfter().toMillis()) {
      // Only upstreams call this route, as far as is known, and do not wait long enough to retry
      // after a refusal, so a response after the objective is still useful to them.
      return OptionalLong.empty();
    }
    long elapsed =
        TimeUnit.MILLISECONDS.toNanos(
            CallerTimeoutTracker.elapsedSinceFirstAttemptMillis(longestMillis, remainingMillis));
    return OptionalLong.of(nowNanos + route.objective().toNanos() - elapsed);
  }

  private void addHeaders(
      RequestStart.Builder message, HeaderList headers, HopByHopHeaders hopByHop) {
    for (int i = 0; i < headers.size(); i++) {
      String name = headers.nameAt(i);
      // The listener itself responds to the Expect header of the caller.
      boolean dropped =
          hopByHop.contains(name)
              || name.equalsIgnoreCase("expect")
              || protocol.headers().isSetByNode(name);
      if (!dropped) {
        message.addHeaders(
            Header.newBuilder()
                .setName(name.toLowerCase(Locale.ROOT))
                .setValue(headers.valueAt(i)));
      }
    }
  }

  /** Returns the value of a header that may occur at most once, or null if it is absent. */
  private static String singleHeader(HeaderList headers, String name) {
    int index = headers.indexOf(name, 0);
    if (index < 0) {
      return null;
    }
    if (headers.indexOf(name, index + 1) >= 0) {
      throw invalid("the request has several " + name + " headers");
    }
    return headers.valueAt(index);
  }

  private static int numberHeader(HeaderList headers, String name, int defaultValue) {
    String value = singleHeader(headers, name);
    if (value == null) {
      return defaultValue;
    }
    if (!CharacterClass.matches(value, MAX_NUMBER_DIGITS, CharacterClass::isDigit)) {
      throw invalid(name + " must be a whole number");
    }
    return Integer.parseInt(value);
  }

  /** Returns a header whose value has a limited length and alphabet, or null if it is absent. */
  private static String textHeader(
      HeaderList headers, String name, int maxLength, IntPredicate alphabet) {
    String value = singleHeader(headers, name);
    if (value != null && !CharacterClass.matches(value, maxLength, alphabet)) {
      throw invalid(name + " is malformed");
    }
    return value;
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw invalid(message);
    }
  }

  private static FoxtaildoorException invalid(String message) {
    return new FoxtaildoorException(ErrorKind.INVALID_INPUT, message);
  }
}
