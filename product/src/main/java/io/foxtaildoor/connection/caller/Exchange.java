package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Outcome;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.connection.link.RequestStream;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import io.foxtaildoor.protocol.LoadReport;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.request.balance.AttemptResult;
import io.foxtaildoor.request.balance.ReportedLoad;
import io.foxtaildoor.request.balance.Selection;
import io.foxtaildoor.request.idempotency.KeyedRequestTable.Ending;
import io.foxtaildoor.request.retry.FailedAttempt;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Handles one request of a caller, its attempts and its response. Must be used on the event loop of
 * the caller's connection only.
 */
final class Exchange {
  private final CallerConnection connection;
  private final CallerDependencies dependencies;
  private final EventLoop loop;
  private final RequestHead head;
  private final ResponseWriter response;
  private final InstanceSelector instanceSelector;
  private final RequestBody requestBody;
  private final long receivedNanos;
  private ScheduledFuture<?> deadlineTimer;
  private Attempt currentAttempt;
  private int attemptCount;
  private int arrivalCount;
  private boolean retryReserved;
  private double repeatProbability;
  private boolean mayHaveRun;
  private boolean responseEnded;
  private boolean finished;
  private long requestOverheadNanos;

  Exchange(
      CallerConnection connection,
      CallerDependencies dependencies,
      EventLoop loop,
      RequestHead head,
      ResponseWriter response,
      RequestBody requestBody,
      long receivedNanos) {
    this.connection = connection;
    this.dependencies = dependencies;
    this.loop = loop;
    this.head = head;
    this.response = response;
    this.instanceSelector = new InstanceSelector(dependencies, head);
    this.requestBody = requestBody;
    this.receivedNanos = receivedNanos;
  }

  /** Starts the deadline timer and sends the first attempt. */
  void start() {
    dependencies.metrics().requestStarted();
    repeatProbability =
        dependencies
            .retryBudgets()
            .recordRequest(head.service(), localService(), head.deadlineNanos(), receivedNanos);
    long remaining = head.deadlineNanos() - now();
    if (remaining <= 0) {
      failRequest(ErrorKind.EXPIRED, true, "the deadline expired before the request was sent");
      return;
    }
    deadlineTimer = loop.schedule(this::onDeadlineExceeded, remaining, TimeUnit.NANOSECONDS);
    if (head.expectsContinue() && head.hasBody()) {
      response.writeContinue();
    }
    sendAttempt();
  }

  private Optional<ServiceId> localService() {
    return dependencies.fleet().self().upstream().map(UpstreamAnnouncement::service);
  }

  /** Closes the connection after the response has been written. */
  void disableKeepAlive() {
    response.disableKeepAlive();
  }

  private void sendAttempt() {
    long now = now();
    Selection selection;
    try {
      selection = instanceSelector.selectNext(now);
    } catch (FoxtaildoorException e) {
      failRequest(e.kind(), e.kind().outcome() == Outcome.NOT_RUN, e.getMessage());
      return;
    }
    dependencies
        .invariants()
        .check(
            Invariant.HANDED_OVER_ONCE,
            head.route().idempotent() || !mayHaveRun,
            () ->
                "request "
                    + head.requestId()
                    + " is retried after an attempt with unknown outcome");
    attemptCount++;
    Attempt attempt = new Attempt(this, loop, selection, attemptCount, now);
    RequestStart start =
        head.toRequestStart(
            attemptCount, arrivalCount > 0 ? 1 : repeatProbability, requestBody.isPresent(), now);
    attempt.setStream(dependencies.linkClient().open(selection.node(), start, attempt));
    currentAttempt = attempt;
    if (attemptCount == 1) {
      requestOverheadNanos = now() - receivedNanos;
    }
    requestBody.replayTo(attempt.stream());
  }

  /** Handles a part of the request body and takes ownership of the buffer. */
  void onRequestBody(ByteBuf data, boolean end) {
    if (finished || requestBody.isEnded()) {
      data.release();
      return;
    }
    if (!requestBody.add(data, end)) {
      data.release();
      rejectRequestBody(
          ErrorKind.BODY_TOO_LARGE, "the body exceeds " + head.route().maxBodyBytes() + " bytes");
      return;
    }
    if (currentAttempt != null && !responseEnded) {
      currentAttempt.stream().send(data, end);
    } else {
      data.release();
    }
  }

  private void rejectRequestBody(ErrorKind kind, String reason) {
    response.disableKeepAlive();
    if (responseEnded) {
      return;
    }
    cancelCurrentAttempt(reason, AttemptResult.ABANDONED);
    if (response.isStarted()) {
      abortResponse();
    } else {
      failRequest(kind, false, reason);
    }
  }

  /** Handles a request body that cannot be decoded. */
  void onMalformedRequestBody() {
    if (!finished) {
      rejectRequestBody(ErrorKind.INVALID_INPUT, "the request body is malformed");
    }
  }

  /** Returns whether the stream currently accepts no further body data (back pressure). */
  boolean isRequestBodyBlocked() {
    return !finished
        && !responseEnded
        && currentAttempt != null
        && !currentAttempt.stream().isWritable();
  }

  void onStreamWritable() {
    connection.updateAutoRead();
  }

  void onResponseHead(Attempt attempt, ResponseStart start) {
    if (dropsLateEvent(attempt)) {
      return;
    }
    long headReceivedNanos = now();
    if (start.hasLoad()) {
      reportLoad(attempt, start.getLoad());
    }
    recordArrival();
    try {
      checkResponseMatchesRequest(start);
      if (retryAfterErrorStatus(attempt, start)) {
        return;
      }
      response.writeHead(start, head.requestId());
    } catch (FoxtaildoorException e) {
      attempt.stream().cancel(e.getMessage());
      retryOrFail(attempt, e.kind(), false, e.getMessage());
      return;
    }
    attempt.recordResponseHead(
        FailureClassifier.attemptResult(start.getStatus()), headReceivedNanos);
    if (start.getEnd()) {
      endResponse();
    }
    dependencies.metrics().recordAddedLatency(requestOverheadNanos + now() - headReceivedNanos);
  }

  /**
   * Retries the request on another instance instead of forwarding the error status that the
   * upstream returned. Done only for idempotent requests on a route that configures a maximum
   * number of attempts.
   */
  private boolean retryAfterErrorStatus(Attempt attempt, ResponseStart start) {
    boolean failed = FailureClassifier.attemptResult(start.getStatus()) == AttemptResult.FAILED;
    if (!failed || head.route().maxAttempts() == 0 || !instanceSelector.hasUntriedInstance()) {
      return false;
    }
    if (!shouldRetry(attempt, ErrorKind.UPSTREAM_FAILED, false)) {
      return false;
    }
    long now = now();
    dependencies
        .requestLog()
        .logRetry(
            logContext(now),
            ErrorKind.UPSTREAM_FAILED,
            false,
            "the upstream returned status " + start.getStatus(),
            now);
    attempt.stream().cancel("the request is retried on another instance");
    finishSelection(attempt, AttemptResult.FAILED);
    mayHaveRun = true;
    retry();
    return true;
  }

  private void retry() {
    currentAttempt = null;
    dependencies.metrics().requestRetried();
    sendAttempt();
    connection.updateAutoRead();
  }

  /**
   * Rejects a response that carries the id of another request, or that arrives when no response is
   * expected.
   */
  private void checkResponseMatchesRequest(ResponseStart start) {
    boolean expected = connection.isAwaitingResponseOf(this) && !response.isStarted();
    boolean matches =
        expected
            && !CallerHeaders.containOtherRequestId(
                start.getHeadersList(), dependencies.protocol().headers(), head.requestId());
    dependencies
        .invariants()
        .check(
            Invariant.ANSWER_MATCHES_REQUEST,
            matches,
            () ->
                "received the response of another request, or an unexpected response, for request "
                    + head.requestId());
    if (!matches) {
      throw new FoxtaildoorException(
          ErrorKind.PROTOCOL_VIOLATION,
          "the response belongs to another request or was not expected");
    }
  }

  void onResponseBody(Attempt attempt, ByteBuf data, boolean end) {
    if (dropsLateEvent(attempt)) {
      data.release();
      return;
    }
    int bytes = data.readableBytes();
    if (!response.isStarted() || !response.fitsDeclaredLength(bytes)) {
      data.release();
      attempt.stream().cancel("the response body exceeds its declared length or precedes its head");
      retryOrFail(
          attempt,
          ErrorKind.BAD_UPSTREAM_ANSWER,
          false,
          "the response body exceeds its declared length or precedes its head");
      return;
    }
    if (bytes > 0) {
      RequestStream stream = attempt.stream();
      response.writeBody(data).addListener(written -> stream.consumed(bytes));
    } else {
      data.release();
    }
    if (end) {
      endResponse();
    }
  }

  private void endResponse() {
    if (!response.isComplete()) {
      retryOrFail(
          currentAttempt,
          ErrorKind.BAD_UPSTREAM_ANSWER,
          false,
          "the response ended before its declared length");
      return;
    }
    responseEnded = true;
    finishSelection(currentAttempt, currentAttempt.result());

    if (!requestBody.isEnded()) {
      disableKeepAliveUnlessBodyIsSmall();
      currentAttempt.stream().cancel("the response ended before the request body");
    }
    response
        .writeEnd()
        .addListener(
            written -> {
              if (written.isSuccess()) {
                finish(CallerMetrics.ANSWERED, Ending.ANSWERED);
              }
              connection.onResponseFinished(this, written.isSuccess() && response.isKeepAlive());
            });
  }

  void onAttemptFailed(Attempt attempt, StreamFailure failure) {
    if (dropsLateEvent(attempt)) {
      return;
    }
    if (failure.hasLoad()) {
      reportLoad(attempt, failure.getLoad());
    }
    if (failure.getArrived() || !failure.getNotRun()) {
      recordArrival();
    }
    retryOrFail(
        attempt, FailureClassifier.errorKind(failure), failure.getNotRun(), failure.getDetail());
  }

  private void retryOrFail(Attempt attempt, ErrorKind kind, boolean notRun, String detail) {
    finishSelection(attempt, FailureClassifier.attemptResult(kind));
    currentAttempt = null;
    if (response.isStarted()) {
      abortResponse();
      return;
    }
    mayHaveRun |= !notRun;
    if (kind == ErrorKind.LEAVING && !mayHaveRun) {
      instanceSelector.releaseKeyOfLeavingInstance(now());
    }
    if (instanceSelector.hasUntriedInstance() && shouldRetry(attempt, kind, notRun)) {
      long now = now();
      dependencies.requestLog().logRetry(logContext(now), kind, notRun, detail, now);
      retry();
    } else {
      failRequest(kind, notRun, detail);
    }
  }

  private boolean shouldRetry(Attempt attempt, ErrorKind kind, boolean notRun) {
    long now = now();
    FailedAttempt failure =
        new FailedAttempt(
            kind,
            notRun,
            head.route().idempotent(),
            head.message().getDepth(),
            attempt.number(),
            arrivalCount,
            head.route().maxAttempts(),
            head.deadlineNanos() - now,
            requestBody.isReplayable());
    return dependencies.retryPolicy().decide(failure, () -> reserveRetry(now)).isRetry();
  }

  /**
   * Reserves a retry from the budget. A reserved retry is reused until one of its attempts arrives
   * at an upstream, so that each retry is charged once.
   */
  private boolean reserveRetry(long nowNanos) {
    retryReserved =
        retryReserved || dependencies.retryBudgets().tryAcquire(head.service(), nowNanos);
    return retryReserved;
  }

  private void recordArrival() {
    arrivalCount++;
    retryReserved = false;
  }

  private void onDeadlineExceeded() {
    if (finished) {
      return;
    }
    boolean sent = currentAttempt != null;
    // A caller may set a shorter deadline than the route. The timeout counts as a failure of the
    // instance only if the attempt ran for at least half of the route's deadline.
    boolean waitedLongEnough =
        sent && 2 * (now() - currentAttempt.sentNanos()) >= head.route().deadline().toNanos();
    cancelCurrentAttempt(
        "the deadline expired", waitedLongEnough ? AttemptResult.FAILED : AttemptResult.ABANDONED);
    if (response.isStarted()) {
      abortResponse();
    } else {
      failRequest(sent ? ErrorKind.TIMEOUT : ErrorKind.EXPIRED, !sent, "the deadline expired");
    }
  }

  /** Cancels the request after the caller's connection was closed. */
  void onCallerDisconnected() {
    if (!finished) {
      cancelCurrentAttempt("the caller disconnected", AttemptResult.ABANDONED);
      finish(ErrorKind.CANCELLED.headerValue(), Ending.UNKNOWN);
    }
  }

  /**
   * Cancels the stream of the current attempt, if there is one. Later events of that stream are
   * dropped.
   */
  private void cancelCurrentAttempt(String reason, AttemptResult result) {
    if (currentAttempt != null) {
      Attempt attempt = currentAttempt;
      currentAttempt = null;
      if (!responseEnded) {
        attempt.stream().cancel(reason);
      }
      finishSelection(attempt, result);
      mayHaveRun = true;
    }
  }

  private void abortResponse() {
    finish(CallerMetrics.CUT, Ending.UNKNOWN);
    response.abort();
  }

  private void failRequest(ErrorKind kind, boolean notRun, String detail) {
    boolean certainlyNotRun = notRun && !mayHaveRun;
    ErrorKind reportedKind = FailureClassifier.reportedKind(kind, certainlyNotRun);
    Outcome outcome = FailureClassifier.reportedOutcome(reportedKind, certainlyNotRun);
    dependencies
        .invariants()
        .check(
            Invariant.NOT_RUN_IS_TRUE,
            outcome != Outcome.NOT_RUN || !mayHaveRun,
            () ->
                "request "
                    + head.requestId()
                    + " is reported as not run, but an attempt may have run");
    long now = now();
    dependencies
        .requestLog()
        .logFailure(logContext(now), reportedKind, certainlyNotRun, detail, now);
    boolean nothingSent = attemptCount == 0;
    finish(
        reportedKind.headerValue(),
        nothingSent || outcome == Outcome.NOT_RUN ? Ending.NOT_RUN : Ending.UNKNOWN);
    disableKeepAliveUnlessBodyIsSmall();
    if (connection.closesAfterRefusal()) {
      response.disableKeepAlive();
    }
    response
        .writeError(
            new ProblemResponses(dependencies.protocol())
                .create(reportedKind, outcome, detail, head.requestId()))
        .addListener(
            written ->
                connection.onResponseFinished(this, written.isSuccess() && response.isKeepAlive()));
  }

  /**
   * Disables keep-alive unless the rest of the request body is small enough to be read and
   * discarded.
   */
  private void disableKeepAliveUnlessBodyIsSmall() {
    if (!requestBody.isEnded() && !head.hasSmallBody()) {
      response.disableKeepAlive();
    }
  }

  private RequestLog.Context logContext(long nowNanos) {
    return RequestLog.Context.of(head, attemptCount, arrivalCount, receivedNanos, nowNanos);
  }

  private void finish(String result, Ending ending) {
    if (finished) {
      return;
    }
    finished = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    requestBody.release();
    instanceSelector.recordEnding(ending, now());
    dependencies.metrics().requestEnded(head.service().value(), head.route().rank().name(), result);
  }

  private void finishSelection(Attempt attempt, AttemptResult result) {
    long now = now();
    dependencies.selector().finish(attempt.selection(), result, attempt.latencyNanos(now), now);
  }

  private void reportLoad(Attempt attempt, LoadReport load) {
    dependencies.selector().report(attempt.selection(), ReportedLoad.of(load), now());
  }

  /**
   * Returns whether an event arrived after its attempt or request had ended, and counts it if so.
   */
  private boolean dropsLateEvent(Attempt attempt) {
    boolean late = finished || responseEnded || attempt != currentAttempt;
    if (late) {
      dependencies.metrics().recordLateResponseEvent();
    }
    return late;
  }

  private long now() {
    return dependencies.nanoTime().getAsLong();
  }
}
