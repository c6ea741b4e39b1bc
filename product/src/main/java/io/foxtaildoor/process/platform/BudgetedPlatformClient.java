package io.foxtaildoor.process.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Platform client whose calls are limited by one call budget. It shares the connections of {@link
 * PlatformCallExecutor} and does not close them.
 */
final class BudgetedPlatformClient implements PlatformClient {
  private static final byte[] NO_BODY = new byte[0];
  private static final long NO_WAIT = 0;

  private final PlatformCallExecutor calls;
  private final CallBudget budget;
  private final boolean backsOff;

  BudgetedPlatformClient(PlatformCallExecutor calls, CallRate rate, boolean backsOff) {
    this.calls = calls;
    this.budget = new CallBudget(rate);
    this.backsOff = backsOff;
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> get(String key) {
    return entryCall(HttpMethod.GET, keyPath(key), NO_BODY, NO_WAIT, key);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    KeyValueStore.checkSize(key, value);
    String target = keyPath(key) + "?expected=" + expectedRevision;
    return entryCall(HttpMethod.PUT, target, PlatformResponses.encodeValue(value), NO_WAIT, key);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> compareAndDelete(
      String key, long expectedRevision) {
    String target = keyPath(key) + "?expected=" + expectedRevision;
    return entryCall(HttpMethod.DELETE, target, NO_BODY, NO_WAIT, key);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformEntry>> watch(
      String key, long knownRevision, Duration maxWait) {
    String query = "?after=" + knownRevision + "&waitMillis=" + maxWait.toMillis();
    return entryCall(HttpMethod.GET, keyPath(key) + query, NO_BODY, maxWait.toNanos(), key);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> acquireLease(
      String key, String holder, Duration timeToLive) {
    return leaseCall("acquire", new PlatformLease(key, holder, 0, timeToLive));
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> renewLease(PlatformLease lease) {
    return leaseCall("renew", lease);
  }

  @Override
  public CompletableFuture<PlatformResult<PlatformLease>> releaseLease(PlatformLease lease) {
    return leaseCall("release", lease);
  }

  @Override
  public void close() {}

  private CompletableFuture<PlatformResult<PlatformEntry>> entryCall(
      HttpMethod method, String target, byte[] body, long waitNanos, String key) {
    boolean write = !method.equals(HttpMethod.GET);
    PlatformRequest request = new PlatformRequest(method, target, body, write, waitNanos);
    return execute(request, key, document -> PlatformResponses.parseEntry(document, key));
  }

  private CompletableFuture<PlatformResult<PlatformLease>> leaseCall(
      String verb, PlatformLease lease) {
    String key = lease.key();
    PlatformRequest request =
        new PlatformRequest(
            HttpMethod.POST,
            "/lease/" + encode(key) + "/" + verb,
            PlatformResponses.encodeLease(lease),
            true,
            NO_WAIT);
    return execute(
        request, key, document -> PlatformResponses.parseLease(document, key, lease.holder()));
  }

  private <T> CompletableFuture<PlatformResult<T>> execute(
      PlatformRequest request, String key, PlatformResponses.DocumentParser<T> parser) {
    return calls
        .execute(request, budget, backsOff)
        .thenApply(outcome -> PlatformResponses.toResult(outcome, request, key, parser));
  }

  private static String keyPath(String key) {
    return "/kv/" + encode(key);
  }

  private static String encode(String key) {
    String encoded = URLEncoder.encode(key, StandardCharsets.UTF_8);
    return encoded.replace("+", "%20").replace("%2F", "/");
  }
}
