package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.connection.link.RequestListener;
import io.foxtaildoor.connection.link.ResponseStream;
import io.foxtaildoor.connection.link.StreamAcceptor;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import io.foxtaildoor.protocol.LoadReport;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.request.admission.AdmissionDecision;
import io.foxtaildoor.request.admission.AdmissionQueue;
import io.foxtaildoor.request.admission.Ticket;
import io.foxtaildoor.request.admission.UpstreamLimits;
import io.foxtaildoor.request.idempotency.KeyClaimResult;
import io.foxtaildoor.request.idempotency.KeyRegistry;
import io.foxtaildoor.request.idempotency.StoredResponse;
import io.foxtaildoor.version.routing.Service;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Admits the request streams of other nodes and forwards them to the local upstream. One event loop
 * owns all state, which is sufficient for the roughly one hundred requests per second of one
 * upstream. The public methods may be called from any thread.
 */
public final class UpstreamServer implements StreamAcceptor, AutoCloseable {
  /** Interval of the checks for exchanges without progress and for idle connections. */
  private static final long CHECK_MILLIS = 250;

  private final EventLoop loop;
  private final UpstreamSettings settings;
  private final Function<ServiceId, Optional<Service>> services;
  private final Invariants invariants;
  private final UpstreamMetrics metrics;
  private final LongSupplier clock;
  private final UpstreamRequestListener requestListener;
  private final KeyRegistry keys;
  private final AdmissionQueue<Exchange> admission;
  private final Set<Exchange> exchanges = new HashSet<>();
  private final Set<Exchange> watched = new HashSet<>();
  private final ScheduledFuture<?> periodicChecks;
  private final UpstreamDrain drain;
  private final StrayResponseLog strayResponseLog = new StrayResponseLog();
  private UpstreamAnnouncement announced;
  private UpstreamPool pool;
  private Service serviceConfiguration;
  private String instance = "";

  /**
   * Creates a server to which no upstream is attached yet.
   *
   * @param services looks up a service in this node's configuration version; called for each
   *     request
   * @param requestListener is notified of the requests that the upstream processes
   * @param clock monotonic nanoseconds
   */
  public UpstreamServer(
      EventLoopGroup group,
      UpstreamSettings settings,
      Function<ServiceId, Optional<Service>> services,
      Invariants invariants,
      MeterRegistry registry,
      UpstreamRequestListener requestListener,
      LongSupplier clock) {
    this.loop = group.next();
    this.settings = settings;
    this.drain = new UpstreamDrain(loop);
    this.services = services;
    this.invariants = invariants;
    this.metrics = new UpstreamMetrics(registry);
    this.requestListener = requestListener;
    this.clock = clock;
    this.keys = new KeyRegistry(settings.keys());
    this.admission =
        new AdmissionQueue<>(
            settings.admission(), new UpstreamLimits(1, Map.of(), 0, now()), now());
    metrics.gauge("queued", rank -> admission.queued(rank));
    metrics.gauge("in.flight", rank -> admission.inFlight(rank));
    metrics.gauge("limit", admission, queue -> queue.load(now()).limit());
    metrics.gauge("keys", keys, KeyRegistry::size);
    this.periodicChecks =
        loop.scheduleWithFixedDelay(
            this::runPeriodicChecks, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Attaches an upstream. An upstream with another service, address or start time replaces the
   * previous one and ends its drain; a renewed announcement of the current upstream only updates
   * its slots.
   */
  public void attach(InetSocketAddress address, UpstreamAnnouncement announcement) {
    attach(address, announcement, "");
  }

  /**
   * Attaches an upstream instance that has an id of its own.
   *
   * @param id sent with each request, so that another instance at the same address refuses it;
   *     empty if the instance has no id
   */
  public void attach(InetSocketAddress address, UpstreamAnnouncement announcement, String id) {
    loop.execute(
        () -> {
          if (!isRenewal(address, announcement)) {
            replace(address);
          }
          announced = announcement;
          instance = id;
          serviceConfiguration = null;
        });
  }

  private boolean isRenewal(InetSocketAddress address, UpstreamAnnouncement announcement) {
    return announced != null
        && pool.address().equals(address)
        && announced.service().equals(announcement.service())
        && announced.startedAtNanos() == announcement.startedAtNanos();
  }

  private void replace(InetSocketAddress address) {
    closePool();
    pool = new UpstreamPool(loop, address, settings, clock, metrics::countRepeatedId);
    drain.upstreamReplaced(exchanges.size());
    admission.endDrain();
  }

  /**
   * Detaches the upstream. New requests are refused; running ones continue until they end or their
   * connections fail.
   */
  public void detach() {
    loop.execute(
        () -> {
          closePool();
          announced = null;
          pool = null;
        });
  }

  private void closePool() {
    if (pool != null) {
      pool.close();
    }
  }

  /**
   * Refuses new requests as LEAVING and lets queued and running ones finish. Requests that are
   * still queued after 1.5 s are refused as LEAVING too.
   *
   * @return completes with true when no request is left, or with false when another upstream
   *     replaces this one first
   */
  public CompletableFuture<Boolean> beginDrain(long nowNanos) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          var unused =
              drain
                  .begin(nowNanos, admission::beginDrain, this::refuseQueued)
                  .thenAccept(result::complete);
          drain.updateRemainingRequests(exchanges.size());
        });
    return result;
  }

  /** Completes when the calls that were made to this server before have taken effect. */
  public CompletableFuture<Void> afterPendingTasks() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(() -> done.complete(null));
    return done;
  }

  @Override
  public RequestListener accept(RequestStart head, ResponseStream response) {
    Exchange exchange = new Exchange(this, head, response, now());
    loop.execute(() -> admit(exchange));
    return exchange;
  }

  private void admit(Exchange exchange) {
    exchanges.add(exchange);
    RequestStart head = exchange.head();
    if (drain.isDraining()) {
      refuseAsLeaving(exchange);
    } else if (announced == null || !announced.service().value().equals(head.getService())) {
      exchange.fail(ErrorKind.NO_UPSTREAM, "no upstream of service " + head.getService());
    } else if (!exchange.hasValidContentLength()) {
      exchange.fail(ErrorKind.INVALID_INPUT, "malformed content length");
    } else if (!refreshConfiguration()) {
      exchange.fail(ErrorKind.NOT_READY, "no configuration of service " + head.getService());
    } else if (head.getIdempotencyKey().isEmpty()) {
      enqueue(exchange);
    } else {
      applyKeyClaim(exchange, keys.claim(announced.service(), head.getIdempotencyKey(), now()));
    }
  }

  /**
   * Refuses a request as LEAVING, after which its caller may send it to another instance. A request
   * whose idempotency key is known here is not refused so, because it may have run.
   */
  private void refuseAsLeaving(Exchange exchange) {
    String key = exchange.head().getIdempotencyKey();
    if (!key.isEmpty() && announced != null) {
      KeyClaimResult decision = keys.claim(announced.service(), key, now());
      if (decision instanceof KeyClaimResult.Granted granted) {
        granted.claim().release();
      } else {
        applyKeyClaim(exchange, decision);
        return;
      }
    }
    exchange.fail(ErrorKind.LEAVING, "upstream is leaving");
  }

  /**
   * Applies the current configuration of the service to the pool and the admission queue.
   *
   * @return false if the service has no configuration
   */
  private boolean refreshConfiguration() {
    Optional<Service> service = services.apply(announced.service());
    if (service.isPresent() && !service.get().equals(serviceConfiguration)) {
      serviceConfiguration = service.get();
      int slots = Math.min(serviceConfiguration.slots(), serviceConfiguration.connections());
      if (announced.slots() > 0) {
        slots = Math.min(slots, announced.slots());
      }
      pool.setLimit(serviceConfiguration.connections());
      UpstreamLimits limits =
          new UpstreamLimits(
              Math.max(1, slots),
              reservedShares(),
              serviceConfiguration.coldStart().toNanos(),
              announced.startedAtNanos());
      admission.configure(limits, now());
    }
    return service.isPresent();
  }

  /**
   * Shares of the slots that are reserved for ranks when other ranks flood the upstream, in
   * percent; the standard shares if the service configures none.
   */
  private Map<Rank, Integer> reservedShares() {
    Map<Rank, Integer> stated = serviceConfiguration.reservedPercent();
    return stated.isEmpty() ? settings.admission().defaultReservedPercent() : stated;
  }

  private void applyKeyClaim(Exchange exchange, KeyClaimResult decision) {
    if (decision instanceof KeyClaimResult.Granted granted) {
      exchange.keyClaimed(granted.claim());
      enqueue(exchange);
    } else if (decision instanceof KeyClaimResult.Answered answered) {
      replay(exchange, answered.response());
    } else if (decision instanceof KeyClaimResult.Duplicate duplicate) {
      exchange.fail(ErrorKind.DUPLICATE, duplicate.detail());
    } else {
      exchange.fail(ErrorKind.OVERLOADED, "the registry of idempotency keys is full");
    }
  }

  private void replay(Exchange exchange, StoredResponse answer) {
    ResponseStream response = exchange.response();
    response.start(answer.head().toBuilder().setLoad(loadReport()).build());
    response.send(Unpooled.wrappedBuffer(answer.body().asReadOnlyByteBuffer()), true);
    exchange.replayed();
  }

  private void enqueue(Exchange exchange) {
    AdmissionDecision<Exchange> decision =
        admission.offer(
            exchange, exchange.rank(), exchange.deadlineNanos(), exchange.objectiveNanos(), now());
    if (decision.ticket().isEmpty()) {
      exchange.fail(decision.refusal().orElseThrow(), decision.detail());
      return;
    }
    exchange.enqueued(decision.ticket().get());
    startQueuedRequests();
  }

  /** Starts queued requests while slots are free. */
  private void startQueuedRequests() {
    Optional<Ticket<Exchange>> next = poll();
    while (next.isPresent()) {
      Ticket<Exchange> ticket = next.get();
      metrics.recordAdmission(ticket.rank(), ticket.waitNanos());
      if (pool == null) {
        ticket.request().fail(ErrorKind.NO_UPSTREAM, "the upstream was detached");
      } else {
        ticket.request().start(pool);
      }
      next = poll();
    }
  }

  private Optional<Ticket<Exchange>> poll() {
    return admission.poll(now(), this::refuseLate);
  }

  /**
   * Refuses a request that left the queue because its deadline passed, or because its deadline is
   * so near that another instance should rather try it.
   */
  private void refuseLate(Ticket<Exchange> late) {
    boolean expired = late.deadlineNanos() - now() <= 0;
    late.request()
        .fail(
            expired ? ErrorKind.EXPIRED : ErrorKind.OVERLOADED,
            "the deadline passed or is too near to start the request");
  }

  /** An exchange ended and released its slot. */
  void exchangeEnded(Exchange exchange) {
    exchanges.remove(exchange);
    watched.remove(exchange);
    drain.updateRemainingRequests(exchanges.size());
    if (admission.hasQueued()) {
      loop.execute(this::startQueuedRequests);
    }
  }

  /** The first byte of a request was written to the upstream. */
  void requestStarted(long deadlineNanos) {
    requestListener.requestStarted(deadlineNanos);
  }

  /**
   * A request that was sent to the upstream ended, and the upstream did not state that it was not
   * run.
   */
  void requestFinished(RequestStart head, double repeatProbability) {
    requestListener.requestFinished(
        new ServiceId(head.getService()), repeatProbability, head.getIdempotent(), now());
  }

  /** Includes an exchange in the periodic checks for progress. */
  void watchProgress(Exchange exchange) {
    watched.add(exchange);
  }

  private void runPeriodicChecks() {
    long now = now();
    for (Exchange exchange : List.copyOf(watched)) {
      exchange.checkProgress(now);
    }
    if (pool != null) {
      pool.closeIdle(now);
    }
    if (announced != null) {
      var unused = refreshConfiguration();
    }
    // The limit of an upstream in its cold start grows with time alone, so queued requests may be
    // able to start although no exchange ended.
    startQueuedRequests();
  }

  /** Whether a request, even a queued one, may still be sent to the upstream. */
  boolean maySendRequest() {
    return drain.maySendRequest(now());
  }

  /** Refuses the queued requests, because this instance is leaving and another one can run them. */
  private void refuseQueued() {
    admission.clear(late -> late.request().fail(ErrorKind.LEAVING, "upstream is leaving"));
  }

  /** Checks the invariants that must hold when the first byte of a request is written. */
  void checkSendInvariants(Exchange exchange, int sendCount) {
    invariants.check(
        Invariant.HANDED_OVER_ONCE,
        sendCount == 1,
        () ->
            "request "
                + exchange.head().getRequestId()
                + " was sent to the upstream more than once");
    invariants.check(
        Invariant.NOTHING_NEW_WHEN_LEAVING,
        maySendRequest(),
        () ->
            "request "
                + exchange.head().getRequestId()
                + " was sent to the upstream while it was leaving");
  }

  LoadReport loadReport() {
    AdmissionQueue.Load load = admission.load(now());
    return LoadReport.newBuilder()
        .setInFlight(load.inFlight())
        .setQueued(load.queued())
        .setLimit(load.limit())
        .build();
  }

  /** Id of the upstream instance; empty if it has none. */
  String instance() {
    return instance;
  }

  AdmissionQueue<Exchange> admission() {
    return admission;
  }

  EventLoop loop() {
    return loop;
  }

  UpstreamSettings settings() {
    return settings;
  }

  UpstreamMetrics metrics() {
    return metrics;
  }

  StrayResponseLog strayResponseLog() {
    return strayResponseLog;
  }

  Invariants invariants() {
    return invariants;
  }

  long now() {
    return clock.getAsLong();
  }

  /** Numbers of requests that were sent to the upstream since the node started. */
  public Arrivals arrivals() {
    return metrics.arrivals();
  }

  /** Number of requests of a rank that wait for a slot. */
  public int queued(Rank rank) {
    return admission.queued(rank);
  }

  /** Closes all connections; requests in flight fail with an unknown outcome. */
  @Override
  public void close() {
    periodicChecks.cancel(false);
    loop.execute(
        () -> {
          closePool();
          for (Exchange exchange : List.copyOf(exchanges)) {
            exchange.fail(ErrorKind.OUTCOME_UNKNOWN, "the node is shutting down");
          }
        });
  }
}
