package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.Outcome;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.connection.link.RequestListener;
import io.foxtaildoor.connection.link.ResponseStream;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.request.admission.Completion;
import io.foxtaildoor.request.admission.Ticket;
import io.foxtaildoor.request.idempotency.KeyClaimResult;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One request from its admission to the end of its answer. Its state is confined to the event loop
 * of the server; the events of the stream are passed to it.
 */
final class Exchange implements RequestListener, UpstreamConnection.User {
  private static final int PERMILLE = 1_000;

  private final UpstreamServer server;
  private final RequestStart head;
  private final ResponseStream response;
  private final Rank rank;
  private final long acceptedNanos;
  private final long deadlineNanos;
  private final RequestBody body;
  private KeyClaimResult.Claim claim;
  private AnswerCopy copy = AnswerCopy.none();
  private Ticket<Exchange> ticket;
  private UpstreamPool pool;
  private UpstreamConnection connection;
  private Future<?> timer;
  private int handOvers;

  /** Set at once, since requests whose admission is queued before the cancel must not run. */
  private volatile boolean cancelled;

  private boolean ended;
  private boolean refusedAsNotRun;
  private boolean answered;
  private long answerBytes;
  private long headNanos;
  private int status;
  private AnswerFlow flow;
  private final HeldAnswer held;
  private boolean refusedByUpstream;
  private long progressNanos;

  Exchange(UpstreamServer server, RequestStart head, ResponseStream response, long nowNanos) {
    this.server = server;
    this.head = head;
    this.response = response;
    this.rank = Rank.of(Math.max(0, Math.min(head.getRankValue(), Rank.COUNT - 1)));
    this.acceptedNanos = nowNanos;
    this.deadlineNanos = nowNanos + TimeUnit.MICROSECONDS.toNanos(head.getRemainingMicros());
    this.held = new HeldAnswer(server.settings().heldAnswerBytes(), response);
    this.body = new RequestBody(head.getEnd(), server.settings().maxRequestBytes(), response);
  }

  RequestStart head() {
    return head;
  }

  ResponseStream response() {
    return response;
  }

  Rank rank() {
    return rank;
  }

  long acceptedNanos() {
    return acceptedNanos;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Time until which an answer has its full worth; the deadline when the request states none. */
  long objectiveNanos() {
    return head.getHasObjective()
        ? acceptedNanos + TimeUnit.MICROSECONDS.toNanos(head.getObjectiveMicros())
        : deadlineNanos;
  }

  boolean isEnded() {
    return ended;
  }

  /** Checks the framing of the body before anything is decided. */
  boolean validate() {
    try {
      body.declare(HeaderRules.contentLength(head));
      return true;
    } catch (FoxtaildoorException e) {
      return false;
    }
  }

  /** The key is held for this request. */
  void claimed(KeyClaimResult.Claim newClaim) {
    claim = newClaim;
    copy = AnswerCopy.upTo(server.settings().keys().maxResponseBytes());
  }

  /** The request waits for a slot until its deadline. */
  void queued(Ticket<Exchange> newTicket) {
    ticket = newTicket;
    long delay = Math.max(0, deadlineNanos - server.now());
    timer = server.loop().schedule(this::deadlinePassed, delay, TimeUnit.NANOSECONDS);
  }

  private void deadlinePassed() {
    if (ended) {
      return;
    }
    if (server.admission().cancel(ticket)) {
      fail(ErrorKind.EXPIRED, "deadline passed in the queue");
    } else if (handOvers == 0) {
      fail(ErrorKind.EXPIRED, "deadline passed before a connection was ready");
    } else {
      fail(ErrorKind.TIMEOUT, "deadline passed at the upstream");
    }
  }

  /** Probability that the request is a repeat; a node that states an impossible one is bounded. */
  private double repeatShare() {
    return Math.max(0, Math.min(PERMILLE, head.getRepeatPermille())) / (double) PERMILLE;
  }

  /** The request holds a slot. */
  void run(UpstreamPool newPool) {
    pool = newPool;
    progressNanos = server.now();
    pool.acquire(this::connected, e -> fail(e.kind(), e.getMessage()));
  }

  private void connected(UpstreamConnection ready) {
    if (ended || cancelled) {
      pool.release(ready);
      return;
    }
    HttpRequest request;
    try {
      long remaining = deadlineNanos - server.now();
      if (remaining <= 0) {
        throw new FoxtaildoorException(ErrorKind.EXPIRED, "deadline passed while connecting");
      }
      if (!server.mayHandOver()) {
        throw new FoxtaildoorException(ErrorKind.LEAVING, "upstream is leaving");
      }
      request =
          HeaderRules.request(
              head, server.settings().headers(), pool.authority(), server.instance(), remaining);
      body.expect(request.headers());
    } catch (FoxtaildoorException e) {
      pool.release(ready);
      fail(e.kind(), e.getMessage());
      return;
    }
    connection = ready;
    flow = new AnswerFlow(ready, response, server.loop(), this::resumeReading);
    connection.begin(this, request, head.getEnd());
  }

  @Override
  public void handedOver() {
    handOvers++;
    server.metrics().arrived(repeatShare() == 1);
    server.began(deadlineNanos);
    server
        .invariants()
        .check(
            Invariant.NOT_RUN_IS_TRUE,
            !refusedAsNotRun,
            () -> "request " + head.getRequestId() + " was handed over after its refusal");
    server.checkHandOver(this, handOvers);
  }

  @Override
  public void headWritten() {
    if (!ended) {
      progressNanos = server.now();
      server.watch(this);
      if (body.awaitsContinue()) {
        long delay = server.settings().continueTimeout().toNanos();
        var unused = server.loop().schedule(this::continueBody, delay, TimeUnit.NANOSECONDS);
      } else {
        continueBody();
      }
    }
  }

  @Override
  public void notWritten(Throwable cause) {
    if (ended) {
      return;
    }
    boolean stale = connection.wasUsed();
    connection = null;
    if (stale) {
      // A kept connection that closed before it took a byte says nothing about the upstream.
      pool.acquire(this::connected, e -> fail(e.kind(), e.getMessage()));
    } else {
      fail(ErrorKind.UPSTREAM_UNREACHABLE, "connection closed before the request was written");
    }
  }

  private void continueBody() {
    body.release100();
    bodyWritable();
  }

  @Override
  public void bodyWritable() {
    if (!ended && handOvers > 0) {
      body.writeTo(connection, () -> progressNanos = server.now());
    }
  }

  @Override
  public void body(ByteBuf data, boolean end) {
    server.loop().execute(() -> receiveBody(data, end));
  }

  private void receiveBody(ByteBuf data, boolean end) {
    if (ended) {
      data.release();
      return;
    }
    ErrorKind broken = body.add(data, end);
    if (broken != null) {
      // Once handed over, the request is one that its caller broke off.
      boolean unsent = handOvers == 0 || broken.outcome() == Outcome.UNKNOWN;
      fail(
          unsent ? broken : ErrorKind.CANCELLED,
          "request body does not fit its declared length or the limit");
      return;
    }
    bodyWritable();
  }

  @Override
  public boolean answerHead(HttpResponse answer) {
    progressNanos = server.now();
    HeaderDialect dialect = server.settings().headers();
    if (!AnswerChecks.belongs(answer, dialect, head.getRequestId())) {
      server.metrics().strayAnswer();
      return false;
    }
    if (handOvers == 0) {
      // An answer before any byte of the request belongs to another exchange.
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "answer without a request");
    } else if (answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "upstream switched protocols without being asked");
    } else if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      if (answer.status().equals(HttpResponseStatus.CONTINUE)) {
        continueBody();
      }
    } else if (!AnswerChecks.isGenuine(answer, dialect)) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "the answer does not come whole from the upstream");
    } else if (AnswerChecks.statesNotRun(answer, dialect)) {
      body.answered();
      refusedByUpstream = true;
      status = answer.status().code();
    } else {
      body.answered();
      answered = true;
      status = answer.status().code();
      headNanos = progressNanos - ticket.startedNanos();
      ResponseStart.Builder start = HeaderRules.response(answer).setLoad(server.loadReport());
      copy.head(start);
      held.start(start.build());
    }
    return true;
  }

  @Override
  public void answerBody(ByteBuf data, boolean end) {
    progressNanos = server.now();
    int bytes = data.readableBytes();
    answerBytes += bytes;
    if (answerBytes > server.settings().maxAnswerBytes()) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "answer is larger than the limit");
      return;
    }
    if (refusedByUpstream) {
      if (end) {
        refused();
      }
      return;
    }
    copy.body(data);
    if (end) {
      complete();
    }
    held.add(data, end);
    if (!end && bytes > 0 && held.isPassing()) {
      flow.passed(bytes);
    }
  }

  @Override
  public void writable() {
    server.loop().execute(this::resumeReading);
  }

  private void resumeReading() {
    if (!ended && flow != null && flow.resume()) {
      progressNanos = server.now();
    }
  }

  /** A remembered answer was sent instead of a run. */
  void replayed() {
    ended = true;
    leave(Completion.ABANDONED);
  }

  private void complete() {
    ended = true;
    boolean shed = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    if (claim != null) {
      copy.settle(claim, server.now());
    }
    leave(shed ? Completion.SHED : Completion.ANSWERED);
    server.metrics().served(rank, server.now() - ticket.startedNanos());
  }

  /** The upstream took the request and states that it did not run it. */
  private void refused() {
    ended = true;
    if (claim != null) {
      claim.release();
    }
    boolean misdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    ErrorKind kind = misdirected ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED;
    leave(misdirected ? Completion.ABANDONED : Completion.SHED);
    report(kind, true, "the upstream answered with status " + status + " and did not run it");
  }

  @Override
  public void answerMalformed(Throwable cause) {
    fail(ErrorKind.BAD_UPSTREAM_ANSWER, "malformed answer: " + cause.getMessage());
  }

  @Override
  public void broken(String reason) {
    fail(ErrorKind.OUTCOME_UNKNOWN, answered ? "answer ended early: " + reason : reason);
  }

  /** Cuts off an upstream that made no progress although nothing holds it up. */
  void checkProgress(long nowNanos) {
    boolean waiting = connection != null && connection.isReading() && !body.awaitsCaller();
    if (ended || handOvers == 0 || !waiting) {
      progressNanos = nowNanos;
    } else if (nowNanos - progressNanos >= server.settings().progressTimeout().toNanos()) {
      fail(ErrorKind.TIMEOUT, "upstream made no progress");
    }
  }

  @Override
  public void cancelled(String reason) {
    cancelled = true;
    server
        .loop()
        .execute(
            () -> {
              if (!ended) {
                end();
                server.metrics().failed(rank, ErrorKind.CANCELLED);
              }
            });
  }

  /** Ends the stream with a failure; it is "not run" exactly when nothing was handed over. */
  void fail(ErrorKind kind, String detail) {
    if (ended) {
      return;
    }
    boolean notRun = handOvers == 0 && kind != ErrorKind.DUPLICATE;
    server
        .invariants()
        .check(
            Invariant.NOT_RUN_IS_TRUE,
            kind.outcome() != Outcome.NOT_RUN || handOvers == 0,
            () -> "request " + head.getRequestId() + " failed with " + kind);
    refusedAsNotRun = notRun;
    end();
    report(kind, notRun, detail);
  }

  private void report(ErrorKind kind, boolean notRun, String detail) {
    server.metrics().failed(rank, kind);
    response.fail(
        StreamFailure.newBuilder()
            .setKind(kind.name())
            .setNotRun(notRun)
            .setArrived(handOvers > 0)
            .setDetail(detail)
            .setLoad(server.loadReport())
            .build());
  }

  /** Gives up what the request holds; the outcome is unknown after a hand-over. */
  private void end() {
    ended = true;
    if (ticket != null) {
      server.admission().cancel(ticket);
    }
    if (connection != null) {
      connection.abandon();
    }
    if (claim != null && handOvers > 0) {
      claim.recordUnknownOutcome(server.now());
    } else if (claim != null) {
      claim.release();
    }
    leave(Completion.ABANDONED);
  }

  private void leave(Completion completion) {
    if (handOvers > 0 && !refusedByUpstream) {
      server.ran(head, repeatShare());
    }
    if (timer != null) {
      timer.cancel(false);
    }
    body.release();
    if (ticket != null) {
      server.admission().finish(ticket, completion, headNanos, server.now());
    }
    server.ended(this);
  }
}
