package io.foxtaildoor.process.load;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Sends the requests of one stream at their intended times, whether or not earlier ones were
 * answered (open loop). Confined to the event loop of its connections.
 */
final class StreamRun implements ConnectionPool.Listener {
  private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(1).toNanos();

  /** Minimum time between the deadline of a request and the time at which it is abandoned. */
  private static final long MIN_ABANDON_DELAY_NANOS = Duration.ofSeconds(1).toNanos();

  /** Maximum time to wait for responses after the end of the run. */
  private static final long MAX_DRAIN_NANOS = Duration.ofSeconds(10).toNanos();

  /**
   * Start time of a run on the monotonic clock and lengths of its warm-up and its measured period,
   * all in nanoseconds.
   */
  record Times(long startAt, long warmUp, long duration) {
    long total() {
      return warmUp + duration;
    }
  }

  private final StreamPlan plan;
  private final Times times;
  private final ArrivalTimes arrivals;
  private final ConnectionPool pool;
  private final LongSupplier nanoClock;
  private final StreamRecorder recorder;
  private final byte[] body;
  private final long abandonAfterNanos;
  private final Deque<LoadRequest> unfinished = new ArrayDeque<>();
  private final CompletableFuture<StreamResult> result = new CompletableFuture<>();
  private ScheduledFuture<?> tickTask;
  private long nextRequestNumber;

  StreamRun(
      StreamPlan plan,
      Times times,
      ArrivalTimes arrivals,
      ConnectionPool pool,
      LongSupplier nanoClock) {
    this.plan = plan;
    this.times = times;
    this.arrivals = arrivals;
    this.pool = pool;
    this.nanoClock = nanoClock;
    this.recorder = new StreamRecorder(plan);
    this.body = plan.body().getBytes(StandardCharsets.UTF_8);
    long deadline = plan.deadline().toNanos();
    this.abandonAfterNanos = deadline + Math.max(deadline, MIN_ABANDON_DELAY_NANOS);
    pool.setListener(this);
  }

  /** Starts the stream. The future completes after the last request has ended. */
  CompletableFuture<StreamResult> start() {
    pool.loop()
        .execute(
            () ->
                tickTask =
                    pool.loop()
                        .scheduleAtFixedRate(
                            this::tickOrFail, 0, TICK_INTERVAL_NANOS, TimeUnit.NANOSECONDS));
    return result;
  }

  @Override
  public HttpRequest createMessage(LoadRequest request) {
    ByteBuf content = body.length == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(plan.method()), plan.requestTarget(), content);
    message.headers().set(HttpHeaderNames.HOST, plan.url().getAuthority());
    plan.headers().forEach((name, value) -> message.headers().set(name, value));
    if (body.length > 0) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    if (request.echoId() != null) {
      message.headers().set(ResponseHandler.ECHO_HEADER, request.echoId());
    }
    return message;
  }

  @Override
  public void onAnswered(LoadRequest request, StreamRecorder.Answer answer) {
    request.setPhase(LoadRequest.Phase.DONE);
    if (request.isCounted()) {
      long latency = nanoClock.getAsLong() - request.intendedAt();
      recorder.recordAnswer(answer, request.echoId(), latency);
    }
  }

  @Override
  public void onFailed(LoadRequest request, Failure failure) {
    request.setPhase(LoadRequest.Phase.DONE);
    if (request.isCounted()) {
      recorder.recordFailure(failure);
    }
  }

  private void tickOrFail() {
    try {
      tick(nanoClock.getAsLong());
    } catch (RuntimeException e) {
      tickTask.cancel(false);
      pool.close();
      result.completeExceptionally(e);
    }
  }

  private void tick(long nowNanos) {
    long elapsed = nowNanos - times.startAt();
    while (arrivals.peek() <= elapsed && arrivals.peek() < times.total()) {
      submit(arrivals.take());
    }
    abandonOverdue(nowNanos);
    boolean allSent = arrivals.peek() >= times.total() && elapsed >= times.total();
    long drain = Math.min(plan.deadline().toNanos(), MAX_DRAIN_NANOS);
    if (allSent && (unfinished.isEmpty() || elapsed - times.total() >= drain)) {
      finish();
    }
  }

  private void submit(long offset) {
    boolean counted = offset >= times.warmUp();
    String echoId = plan.echo() ? plan.name() + "-" + nextRequestNumber++ : null;
    LoadRequest request = new LoadRequest(times.startAt() + offset, counted, echoId);
    if (counted) {
      recorder.recordIntended();
    }
    unfinished.addLast(request);
    pool.submit(request);
  }

  /** Abandons overdue requests. The queue is ordered by intended send time. */
  private void abandonOverdue(long nowNanos) {
    LoadRequest first;
    while ((first = unfinished.peekFirst()) != null) {
      boolean done = first.phase() == LoadRequest.Phase.DONE;
      if (!done && nowNanos - first.intendedAt() < abandonAfterNanos) {
        return;
      }
      unfinished.removeFirst();
      if (!done) {
        abandon(first, Failure.TIMED_OUT);
      }
    }
  }

  private void abandon(LoadRequest request, Failure whenSent) {
    boolean sent = request.phase() == LoadRequest.Phase.SENT;
    onFailed(request, sent ? whenSent : Failure.NOT_SENT);
    if (sent) {
      pool.abandon(request);
    }
  }

  private void finish() {
    tickTask.cancel(false);
    // Otherwise the pool would open a new connection for a queued request whenever a connection is
    // closed below.
    pool.stop();
    for (LoadRequest request : unfinished) {
      if (request.phase() != LoadRequest.Phase.DONE) {
        abandon(request, Failure.UNFINISHED);
      }
    }
    pool.close();
    result.complete(recorder.result());
  }
}
