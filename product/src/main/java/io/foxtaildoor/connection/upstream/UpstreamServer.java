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
 * Admits the streams of other nodes and passes them to the local upstream. One event loop owns all
 * state, which suits the about hundred requests a second of one upstream; methods may be called
 * from any thread.
 */
public final class UpstreamServer implements StreamAcceptor, AutoCloseable {
  /** Interval of the check for upstreams without progress and for idle connections. */
  private static final long CHECK_MILLIS = 250;

  private final EventLoop loop;
  private final UpstreamSettings settings;
  private final Function<ServiceId, Optional<Service>> services;
  private final Invariants invariants;
  private final UpstreamMetrics metrics;
  private final LongSupplier clock;
  private final RunListener runs;
  private final KeyRegistry keys;
  private final AdmissionQueue<Exchange> admission;
  private final Set<Exchange> exchanges = new HashSet<>();
  private final Set<Exchange> watched = new HashSet<>();
  private final ScheduledFuture<?> checks;
  private final UpstreamDrain drain;
  private UpstreamAnnouncement announced;
  private UpstreamPool pool;
  private Service configured;
  private String instance = "";

  /**
   * Creates a server without an upstream.
   *
   * @param services the configuration of a service in the held version, asked for each request
   * @param runs is told of the runs of the upstream
   * @param clock monotonic nanoseconds
   */
  public UpstreamServer(
      EventLoopGroup group,
      UpstreamSettings settings,
      Function<ServiceId, Optional<Service>> services,
      Invariants invariants,
      MeterRegistry registry,
      RunListener runs,
      LongSupplier clock) {
    this.loop = group.next();
    this.settings = settings;
    this.drain = new UpstreamDrain(loop, settings.drainBound());
    this.services = services;
    this.invariants = invariants;
    this.metrics = new UpstreamMetrics(registry);
    this.runs = runs;
    this.clock = clock;
    this.keys = new KeyRegistry(settings.keys());
    this.admission =
        new AdmissionQueue<>(
            settings.admission(), new UpstreamLimits(1, Map.of(), 0, now()), now());
    metrics.gauge("queued", rank -> admission.queued(rank));
    metrics.gauge("in.flight", rank -> admission.inFlight(rank));
    metrics.gauge("limit", admission, queue -> queue.load(now()).limit());
    metrics.gauge("keys", keys, KeyRegistry::size);
    this.checks =
        loop.scheduleWithFixedDelay(this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes an upstream into use. One at another address or with another start replaces the former
   * and ends its drain; a renewal of the present one only updates its slots.
   */
  public void attach(InetSocketAddress address, UpstreamAnnouncement announcement) {
    attach(address, announcement, "");
  }

  /**
   * Takes an upstream into use that has an id of its own.
   *
   * @param id names the instance in each request, so that another one at its address refuses it
   */
  public void attach(InetSocketAddress address, UpstreamAnnouncement announcement, String id) {
    loop.execute(
        () -> {
          if (!renews(address, announcement)) {
            replace(address);
          }
          announced = announcement;
          instance = id;
          configured = null;
        });
  }

  private boolean renews(InetSocketAddress address, UpstreamAnnouncement announcement) {
    return announced != null
        && pool.address().equals(address)
        && announced.service().equals(announcement.service())
        && announced.startedAtNanos() == announcement.startedAtNanos();
  }

  private void replace(InetSocketAddress address) {
    closePool();
    pool = new UpstreamPool(loop, address, settings, clock);
    drain.replaced(exchanges.size());
    admission.endDrain();
  }

  /** The upstream is gone: what is new is refused; what runs goes on until it ends or breaks. */
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
   * Refuses everything new as LEAVING and lets what is queued and in flight finish; what is still
   * queued after 1.5 s is refused as LEAVING too.
   *
   * @return completes with true when nothing is left, with false when the bound of the settings
   *     passed before
   */
  public CompletableFuture<Boolean> beginDrain(long nowNanos) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          var unused =
              drain
                  .begin(nowNanos, admission::beginDrain, this::refuseQueued)
                  .thenAccept(result::complete);
          drain.requestsLeft(exchanges.size());
        });
    return result;
  }

  /** Completes when what was asked of the server before has taken effect. */
  public CompletableFuture<Void> flushed() {
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
      exchange.fail(ErrorKind.LEAVING, "upstream is leaving");
    } else if (announced == null || !announced.service().value().equals(head.getService())) {
      exchange.fail(ErrorKind.NO_UPSTREAM, "no upstream of service " + head.getService());
    } else if (!exchange.validate()) {
      exchange.fail(ErrorKind.INVALID_INPUT, "malformed content length");
    } else if (!configure()) {
      exchange.fail(ErrorKind.NOT_READY, "no configuration of service " + head.getService());
    } else if (head.getIdempotencyKey().isEmpty()) {
      enqueue(exchange);
    } else {
      claim(exchange, keys.claim(announced.service(), head.getIdempotencyKey(), now()));
    }
  }

  /** Takes the present configuration of the service; false when there is none. */
  private boolean configure() {
    Optional<Service> service = services.apply(announced.service());
    if (service.isPresent() && !service.get().equals(configured)) {
      configured = service.get();
      int slots = Math.min(configured.slots(), configured.connections());
      if (announced.slots() > 0) {
        slots = Math.min(slots, announced.slots());
      }
      pool.limit(configured.connections());
      UpstreamLimits limits =
          new UpstreamLimits(
              Math.max(1, slots),
              reserved(),
              configured.coldStart().toNanos(),
              announced.startedAtNanos());
      admission.configure(limits, now());
    }
    return service.isPresent();
  }

  /** Shares that ranks keep in a flood of others; standard ones when the service states none. */
  private Map<Rank, Integer> reserved() {
    Map<Rank, Integer> stated = configured.reservedPercent();
    return stated.isEmpty() ? settings.admission().defaultReservedPercent() : stated;
  }

  private void claim(Exchange exchange, KeyClaimResult decision) {
    if (decision instanceof KeyClaimResult.Granted granted) {
      exchange.claimed(granted.claim());
      enqueue(exchange);
    } else if (decision instanceof KeyClaimResult.Answered answered) {
      replay(exchange, answered.response());
    } else if (decision instanceof KeyClaimResult.Duplicate duplicate) {
      exchange.fail(ErrorKind.DUPLICATE, duplicate.detail());
    } else {
      exchange.fail(ErrorKind.OVERLOADED, "too many idempotency keys are remembered");
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
    exchange.queued(decision.ticket().get());
    pump();
  }

  /** Starts waiting requests while slots are free. */
  private void pump() {
    Optional<Ticket<Exchange>> next = poll();
    while (next.isPresent()) {
      Ticket<Exchange> ticket = next.get();
      metrics.admitted(ticket.rank(), ticket.waitNanos());
      if (pool == null) {
        ticket.request().fail(ErrorKind.NO_UPSTREAM, "upstream is gone");
      } else {
        ticket.request().run(pool);
      }
      next = poll();
    }
  }

  private Optional<Ticket<Exchange>> poll() {
    return admission.poll(now(), this::tooLate);
  }

  /** A request left its queue: past its deadline, or while another instance may still be free. */
  private void tooLate(Ticket<Exchange> late) {
    boolean passed = late.deadlineNanos() - now() <= 0;
    late.request()
        .fail(passed ? ErrorKind.EXPIRED : ErrorKind.OVERLOADED, "deadline is too near to start");
  }

  /** An exchange ended and gave back its slot. */
  void ended(Exchange exchange) {
    exchanges.remove(exchange);
    watched.remove(exchange);
    drain.requestsLeft(exchanges.size());
    if (admission.hasQueued()) {
      loop.execute(this::pump);
    }
  }

  /** The upstream was given a request. */
  void began(long deadlineNanos) {
    runs.began(deadlineNanos);
  }

  /** The upstream was given a request and did not refuse it as not run. */
  void ran(RequestStart head, double repeatShare) {
    runs.ran(new ServiceId(head.getService()), repeatShare, head.getIdempotent(), now());
  }

  /** Checks the progress of an exchange from now on. */
  void watch(Exchange exchange) {
    watched.add(exchange);
  }

  private void check() {
    long now = now();
    for (Exchange exchange : List.copyOf(watched)) {
      exchange.checkProgress(now);
    }
    if (pool != null) {
      pool.closeIdle(now);
    }
    if (announced != null) {
      var unused = configure();
    }
    // The limit of a starting upstream grows with time alone.
    pump();
  }

  /** Whether the upstream may receive another request, queued ones included. */
  boolean mayHandOver() {
    return drain.mayHandOver(now());
  }

  /** Refuses what still waits, because another instance can run it and this one is leaving. */
  private void refuseQueued() {
    admission.clear(late -> late.request().fail(ErrorKind.LEAVING, "upstream is leaving"));
  }

  /** Checks what must hold at the moment the first byte of a request is written. */
  void checkHandOver(Exchange exchange, int handOvers) {
    invariants.check(
        Invariant.HANDED_OVER_ONCE,
        handOvers == 1,
        () -> "request " + exchange.head().getRequestId() + " was handed over again");
    invariants.check(
        Invariant.NOTHING_NEW_WHEN_LEAVING,
        mayHandOver(),
        () -> "request " + exchange.head().getRequestId() + " was handed over while leaving");
  }

  LoadReport loadReport() {
    AdmissionQueue.Load load = admission.load(now());
    return LoadReport.newBuilder()
        .setInFlight(load.inFlight())
        .setQueued(load.queued())
        .setLimit(load.limit())
        .build();
  }

  /** Id of the instance; empty when it has none. */
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

  Invariants invariants() {
    return invariants;
  }

  long now() {
    return clock.getAsLong();
  }

  /** Requests that were handed to the upstream since the start. */
  public Arrivals arrivals() {
    return metrics.arrivals();
  }

  /** Requests of a rank that wait for a slot. */
  public int queued(Rank rank) {
    return admission.queued(rank);
  }

  /** Closes all connections; requests in flight fail with an unknown outcome. */
  @Override
  public void close() {
    checks.cancel(false);
    loop.execute(
        () -> {
          closePool();
          for (Exchange exchange : List.copyOf(exchanges)) {
            exchange.fail(ErrorKind.OUTCOME_UNKNOWN, "node stops");
          }
        });
  }
}
