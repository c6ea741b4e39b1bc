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

/** One request of a caller and its answer; on the event loop of the caller's connection only. */
final class Exchange {
  private final CallerConnection connection;
  private final CallerDependencies dependencies;
  private final EventLoop loop;
  private final RequestHead head;
  private final Answer answer;
  private final Dispatcher dispatcher;
  private final RequestBody body;
  private final long receivedNanos;
  private ScheduledFuture<?> deadline;
  private Attempt current;
  private int attempts;
  private int arrivals;
  private boolean retryTaken;
  private double repeatShare;
  private boolean mayHaveRun;
  private boolean answerEnded;
  private boolean done;
  private long addedNanos;

  Exchange(
      CallerConnection connection,
      CallerDependencies dependencies,
      EventLoop loop,
      RequestHead head,
      Answer answer,
      RequestBody body,
      long receivedNanos) {
    this.connection = connection;
    this.dependencies = dependencies;
    this.loop = loop;
    this.head = head;
    this.answer = answer;
    this.dispatcher = new Dispatcher(dependencies, head);
    this.body = body;
    this.receivedNanos = receivedNanos;
  }

  /** Starts the deadline and sends the head. */
  void begin() {
    dependencies.metrics().began();
    repeatShare =
        dependencies
            .retryBudgets()
            .recordRequest(head.service(), localService(), head.deadlineNanos(), receivedNanos);
    long remaining = head.deadlineNanos() - now();
    if (remaining <= 0) {
      fail(ErrorKind.EXPIRED, true, "the deadline passed before the request was sent");
      return;
    }
    deadline = loop.schedule(this::deadlinePassed, remaining, TimeUnit.NANOSECONDS);
    if (head.expectsContinue() && head.hasBody()) {
      answer.writeContinue();
    }
    dispatch();
  }

  private Optional<ServiceId> localService() {
    return dependencies.fleet().self().upstream().map(UpstreamAnnouncement::service);
  }

  /** Makes the connection close after the answer. */
  void closeAfterwards() {
    answer.closeAfterwards();
  }

  private void dispatch() {
    long now = now();
    Selection selection;
    try {
      selection = dispatcher.next(now);
    } catch (FoxtaildoorException e) {
      fail(e.kind(), e.kind().outcome() == Outcome.NOT_RUN, e.getMessage());
      return;
    }
    dependencies
        .invariants()
        .check(
            Invariant.HANDED_OVER_ONCE,
            head.route().idempotent() || !mayHaveRun,
            () -> "request " + head.requestId() + " is sent again after an unknown outcome");
    attempts++;
    Attempt attempt = new Attempt(this, loop, selection, attempts, now);
    RequestStart start =
        head.attempt(attempts, arrivals > 0 ? 1 : repeatShare, body.isPresent(), now);
    attempt.opened(dependencies.links().open(selection.node(), start, attempt));
    current = attempt;
    if (attempts == 1) {
      addedNanos = now() - receivedNanos;
    }
    body.replayTo(attempt.stream());
  }

  /** Takes a part of the request body, which is released. */
  void requestBody(ByteBuf data, boolean end) {
    if (done || body.isEnded()) {
      data.release();
      return;
    }
    if (!body.add(data, end)) {
      data.release();
      refuseBody(
          ErrorKind.BODY_TOO_LARGE, "the body exceeds " + head.route().maxBodyBytes() + " bytes");
      return;
    }
    if (current != null && !answerEnded) {
      current.stream().send(data, end);
    } else {
      data.release();
    }
  }

  private void refuseBody(ErrorKind kind, String reason) {
    answer.closeAfterwards();
    if (answerEnded) {
      return;
    }
    giveUp(reason, AttemptResult.ABANDONED);
    if (answer.isStarted()) {
      cut();
    } else {
      fail(kind, false, reason);
    }
  }

  /** Handles a request body that cannot be decoded. */
  void malformedBody() {
    if (!done) {
      refuseBody(ErrorKind.INVALID_INPUT, "the request body is malformed");
    }
  }

  /** Whether the stream takes no more of the body at present. */
  boolean isBlocked() {
    return !done && !answerEnded && current != null && !current.stream().isWritable();
  }

  void writable() {
    connection.updateReading();
  }

  void started(Attempt attempt, ResponseStart start) {
    if (isLate(attempt)) {
      return;
    }
    long arrived = now();
    if (start.hasLoad()) {
      report(attempt, start.getLoad());
    }
    arrived();
    try {
      checkBelongs(start);
      if (isRepeatedInstead(attempt, start)) {
        return;
      }
      answer.start(start, head.requestId());
    } catch (FoxtaildoorException e) {
      attempt.stream().cancel(e.getMessage());
      attemptFailed(attempt, e.kind(), false, e.getMessage());
      return;
    }
    attempt.answering(FailureTable.result(start.getStatus()), arrived);
    if (start.getEnd()) {
      endAnswer();
    }
    dependencies.metrics().added(addedNanos + now() - arrived);
  }

  /**
   * Sends the request to another instance instead of passing on the failure that its upstream
   * answered; only for idempotent work of a route that states how many upstreams may be tried.
   */
  private boolean isRepeatedInstead(Attempt attempt, ResponseStart start) {
    boolean failed = FailureTable.result(start.getStatus()) == AttemptResult.FAILED;
    if (!failed || head.route().maxAttempts() == 0 || !dispatcher.hasUntried()) {
      return false;
    }
    if (!sendsAgain(attempt, ErrorKind.UPSTREAM_FAILED, false)) {
      return false;
    }
    long now = now();
    dependencies
        .log()
        .repeated(
            context(now),
            ErrorKind.UPSTREAM_FAILED,
            false,
            "the upstream answered with status " + start.getStatus(),
            now);
    attempt.stream().cancel("the request is sent to another instance");
    finishSelection(attempt, AttemptResult.FAILED);
    mayHaveRun = true;
    sendAgain();
    return true;
  }

  private void sendAgain() {
    current = null;
    dependencies.metrics().retried();
    dispatch();
    connection.updateReading();
  }

  /** Refuses an answer that names another request, or that comes where no answer is due. */
  private void checkBelongs(ResponseStart start) {
    boolean expected = connection.isCurrent(this) && !answer.isStarted();
    boolean belongs =
        expected && !CallerHeaders.nameOtherRequest(start.getHeadersList(), head.requestId());
    dependencies
        .invariants()
        .check(
            Invariant.ANSWER_MATCHES_REQUEST,
            belongs,
            () -> "an answer of another request came for request " + head.requestId());
    if (!belongs) {
      throw new FoxtaildoorException(
          ErrorKind.PROTOCOL_VIOLATION, "the answer belongs to another request");
    }
  }

  void body(Attempt attempt, ByteBuf data, boolean end) {
    if (isLate(attempt)) {
      data.release();
      return;
    }
    int bytes = data.readableBytes();
    if (!answer.isStarted() || !answer.admits(bytes)) {
      data.release();
      attempt.stream().cancel("the answer breaks its framing");
      attemptFailed(
          attempt, ErrorKind.BAD_UPSTREAM_ANSWER, false, "the answer's body is malformed");
      return;
    }
    if (bytes > 0) {
      RequestStream stream = attempt.stream();
      answer.body(data).addListener(written -> stream.consumed(bytes));
    } else {
      data.release();
    }
    if (end) {
      endAnswer();
    }
  }

  private void endAnswer() {
    if (!answer.isComplete()) {
      attemptFailed(
          current, ErrorKind.BAD_UPSTREAM_ANSWER, false, "the answer ends before its length");
      return;
    }
    answerEnded = true;
    finishSelection(current, current.result());

    if (!body.isEnded()) {
      closeUnlessDiscardable();
      current.stream().cancel("the answer ended before the request body");
    }
    answer
        .end()
        .addListener(
            written -> {
              if (written.isSuccess()) {
                finish(CallerMetrics.ANSWERED, Ending.ANSWERED);
              }
              connection.answerFinished(this, written.isSuccess() && answer.isKeepAlive());
            });
  }

  void failed(Attempt attempt, StreamFailure failure) {
    if (isLate(attempt)) {
      return;
    }
    if (failure.hasLoad()) {
      report(attempt, failure.getLoad());
    }
    if (failure.getArrived() || !failure.getNotRun()) {
      arrived();
    }
    attemptFailed(attempt, FailureTable.kind(failure), failure.getNotRun(), failure.getDetail());
  }

  private void attemptFailed(Attempt attempt, ErrorKind kind, boolean notRun, String detail) {
    finishSelection(attempt, FailureTable.result(kind));
    current = null;
    if (answer.isStarted()) {
      cut();
      return;
    }
    mayHaveRun |= !notRun;
    if (dispatcher.hasUntried() && sendsAgain(attempt, kind, notRun)) {
      long now = now();
      dependencies.log().repeated(context(now), kind, notRun, detail, now);
      sendAgain();
    } else {
      fail(kind, notRun, detail);
    }
  }

  private boolean sendsAgain(Attempt attempt, ErrorKind kind, boolean notRun) {
    long now = now();
    FailedAttempt failure =
        new FailedAttempt(
            kind,
            notRun,
            head.route().idempotent(),
            head.message().getDepth(),
            attempt.number(),
            arrivals,
            head.route().maxAttempts(),
            head.deadlineNanos() - now,
            body.isReplayable());
    return dependencies.retryPolicy().decide(failure, () -> takeRetry(now)).isRetry();
  }

  /** Takes a retry from the budget, or goes on with one of which no attempt has arrived yet. */
  private boolean takeRetry(long nowNanos) {
    retryTaken = retryTaken || dependencies.retryBudgets().tryAcquire(head.service(), nowNanos);
    return retryTaken;
  }

  private void arrived() {
    arrivals++;
    retryTaken = false;
  }

  private void deadlinePassed() {
    if (done) {
      return;
    }
    boolean sent = current != null;
    // A deadline that the caller shortened does not show that the instance is at fault.
    boolean waited = sent && 2 * (now() - current.sentNanos()) >= head.route().deadline().toNanos();
    giveUp("the deadline passed", waited ? AttemptResult.FAILED : AttemptResult.ABANDONED);
    if (answer.isStarted()) {
      cut();
    } else {
      fail(sent ? ErrorKind.TIMEOUT : ErrorKind.EXPIRED, !sent, "the deadline passed");
    }
  }

  /** Handles the loss of the caller's connection. */
  void callerGone() {
    if (!done) {
      giveUp("the caller disconnected", AttemptResult.ABANDONED);
      finish(ErrorKind.CANCELLED.headerValue(), Ending.UNKNOWN);
    }
  }

  /** Cancels the stream, if one is open; its later events go to nobody. */
  private void giveUp(String reason, AttemptResult result) {
    if (current != null) {
      Attempt given = current;
      current = null;
      if (!answerEnded) {
        given.stream().cancel(reason);
      }
      finishSelection(given, result);
      mayHaveRun = true;
    }
  }

  private void cut() {
    finish(CallerMetrics.CUT, Ending.UNKNOWN);
    answer.abort();
  }

  private void fail(ErrorKind kind, boolean notRun, String detail) {
    boolean certain = notRun && !mayHaveRun;
    ErrorKind told = FailureTable.told(kind, certain);
    Outcome outcome = FailureTable.outcome(told, certain);
    dependencies
        .invariants()
        .check(
            Invariant.NOT_RUN_IS_TRUE,
            outcome != Outcome.NOT_RUN || !mayHaveRun,
            () -> "request " + head.requestId() + " is reported as not run");
    long now = now();
    dependencies.log().ended(context(now), told, certain, detail, now);
    boolean nothingSent = attempts == 0;
    finish(
        told.headerValue(),
        nothingSent || outcome == Outcome.NOT_RUN ? Ending.NOT_RUN : Ending.UNKNOWN);
    closeUnlessDiscardable();
    if (connection.closesRefused()) {
      answer.closeAfterwards();
    }
    answer
        .writeError(
            new ProblemDocuments(dependencies.protocol())
                .of(told, outcome, detail, head.requestId()))
        .addListener(
            written ->
                connection.answerFinished(this, written.isSuccess() && answer.isKeepAlive()));
  }

  /** The rest of a small body is read and dropped, so that the connection can be kept. */
  private void closeUnlessDiscardable() {
    if (!body.isEnded() && !head.hasSmallBody()) {
      answer.closeAfterwards();
    }
  }

  private RequestLog.Context context(long nowNanos) {
    return RequestLog.Context.of(head, attempts, arrivals, receivedNanos, nowNanos);
  }

  private void finish(String result, Ending ending) {
    if (done) {
      return;
    }
    done = true;
    if (deadline != null) {
      deadline.cancel(false);
    }
    body.release();
    dispatcher.ended(ending, now());
    dependencies.metrics().ended(head.service().value(), head.route().rank().name(), result);
  }

  private void finishSelection(Attempt attempt, AttemptResult result) {
    long now = now();
    dependencies.selector().finish(attempt.selection(), result, attempt.latencyNanos(now), now);
  }

  private void report(Attempt attempt, LoadReport load) {
    dependencies.selector().report(attempt.selection(), ReportedLoad.of(load), now());
  }

  private boolean isLate(Attempt attempt) {
    boolean late = done || answerEnded || attempt != current;
    if (late) {
      dependencies.metrics().lateAnswer();
    }
    return late;
  }

  private long now() {
    return dependencies.nanoTime().getAsLong();
  }
}
