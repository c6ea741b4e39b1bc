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
import io.foxtaildoor.request.idempotency.KeyClaim;
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
final class Exchange implements RequestListener, UpstreamConnection.ExchangeListener {
  private static final int PERMILLE = 1_000;

  private final UpstreamServer server;
  private final RequestStart head;
  private final ResponseStream response;
  private final Rank rank;
  private final long acceptedNanos;
  private final long deadlineNanos;
  private final RequestBody body;
  private KeyClaim.Claim claim;
  private ResponseRecording recording = ResponseRecording.none();
  private Ticket<Exchange> ticket;
  private UpstreamPool pool;
  private UpstreamConnection connection;
  private Future<?> deadlineTimer;
  private int sendCount;

  /** Set at once, since requests whose admission is queued before the cancel must not run. */
  private volatile boolean cancelled;

  private boolean ended;
  private boolean reportedAsNotRun;
  private boolean responseStarted;
  private long responseBytes;
  private long timeToHeadNanos;
  private int status;
  private ResponseFlowControl flowControl;
  private final BufferedResponse bufferedResponse;
  private boolean refusedByUpstream;
  private long lastProgressNanos;

  Exchange(UpstreamServer server, RequestStart head, ResponseStream response, long nowNanos) {
    this.server = server;
    this.head = head;
    this.response = response;
    this.rank = Rank.of(Math.max(0, Math.min(head.getRankValue(), Rank.COUNT - 1)));
    this.acceptedNanos = nowNanos;
    this.deadlineNanos = nowNanos + TimeUnit.MICROSECONDS.toNanos(head.getRemainingMicros());
    this.bufferedResponse =
        new BufferedResponse(server.settings().bufferedResponseBytes(), response);
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
  boolean hasValidContentLength() {
    try {
      body.setDeclaredLength(HttpHeadConverter.contentLength(head));
      return true;
    } catch (FoxtaildoorException e) {
      return false;
    }
  }

  /** The key is held for this request. */
  void keyClaimed(KeyClaim.Claim newClaim) {
    claim = newClaim;
    recording = ResponseRecording.upTo(server.settings().keys().maxAnswerBytes());
  }

  /** The request waits for a slot until its deadline. */
  void enqueued(Ticket<Exchange> newTicket) {
    ticket = newTicket;
    long delay = Math.max(0, deadlineNanos - server.now());
    deadlineTimer = server.loop().schedule(this::deadlinePassed, delay, TimeUnit.NANOSECONDS);
  }

  private void deadlinePassed() {
    if (ended) {
      return;
    }
    if (server.admission().cancel(ticket)) {
      fail(ErrorKind.EXPIRED, "deadline passed in the queue");
    } else if (sendCount == 0) {
      fail(ErrorKind.EXPIRED, "deadline passed before a connection was ready");
    } else {
      fail(ErrorKind.TIMEOUT, "deadline passed at the upstream");
    }
  }

  /** Probability that the request is a repeat; a node that states an impossible one is bounded. */
  private double repeatProbability() {
    return Math.max(0, Math.min(PERMILLE, head.getRepeatPermille())) / (double) PERMILLE;
  }

  /** The request holds a slot. */
  void start(UpstreamPool newPool) {
    pool = newPool;
    lastProgressNanos = server.now();
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
      if (!server.maySendRequest()) {
        throw new FoxtaildoorException(ErrorKind.LEAVING, "upstream is leaving");
      }
      request =
          HttpHeadConverter.toHttpRequest(
              head, server.settings().headers(), pool.authority(), server.instance(), remaining);
      body.readExpectHeader(request.headers());
    } catch (FoxtaildoorException e) {
      pool.release(ready);
      fail(e.kind(), e.getMessage());
      return;
    }
    connection = ready;
    flowControl = new ResponseFlowControl(ready, response, server.loop(), this::resumeResponse);
    connection.startExchange(this, request, head.getEnd());
  }

  @Override
  public void firstByteWritten() {
    sendCount++;
    server.metrics().countArrival(repeatProbability() == 1);
    server.requestStarted(deadlineNanos);
    server
        .invariants()
        .check(
            Invariant.NOT_RUN_IS_TRUE,
            !reportedAsNotRun,
            () -> "request " + head.getRequestId() + " was handed over after its refusal");
    server.checkSendInvariants(this, sendCount);
  }

  @Override
  public void headWritten() {
    if (!ended) {
      lastProgressNanos = server.now();
      server.watchProgress(this);
      if (body.awaitsContinue()) {
        long delay = server.settings().continueTimeout().toNanos();
        var unused = server.loop().schedule(this::continueBody, delay, TimeUnit.NANOSECONDS);
      } else {
        continueBody();
      }
    }
  }

  @Override
  public void requestNotWritten(Throwable cause) {
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
    body.stopAwaitingContinue();
    bodyWritable();
  }

  @Override
  public void bodyWritable() {
    if (!ended && sendCount > 0) {
      body.writeTo(connection, () -> lastProgressNanos = server.now());
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
      boolean unsent = sendCount == 0 || broken.outcome() == Outcome.UNKNOWN;
      fail(
          unsent ? broken : ErrorKind.CANCELLED,
          "request body does not fit its declared length or the limit");
      return;
    }
    bodyWritable();
  }

  @Override
  public boolean responseHead(HttpResponse answer) {
    lastProgressNanos = server.now();
    HeaderDialect dialect = server.settings().headers();
    if (!ResponseChecks.belongsTo(answer, dialect, head.getRequestId())) {
      server.metrics().countStrayResponse();
      return false;
    }
    if (sendCount == 0) {
      // An answer before any byte of the request belongs to another exchange.
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "answer without a request");
    } else if (answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "upstream switched protocols without being asked");
    } else if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      if (answer.status().equals(HttpResponseStatus.CONTINUE)) {
        continueBody();
      }
    } else if (!ResponseChecks.isAuthentic(answer, dialect)) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "the answer does not come whole from the upstream");
    } else if (ResponseChecks.statesNotRun(answer, dialect)) {
      body.finalResponseReceived();
      refusedByUpstream = true;
      status = answer.status().code();
    } else {
      body.finalResponseReceived();
      responseStarted = true;
      status = answer.status().code();
      timeToHeadNanos = lastProgressNanos - ticket.startedNanos();
      ResponseStart.Builder start =
          HttpHeadConverter.toResponseStart(answer).setLoad(server.loadReport());
      recording.head(start);
      bufferedResponse.start(start.build());
    }
    return true;
  }

  @Override
  public void responseBody(ByteBuf data, boolean end) {
    lastProgressNanos = server.now();
    int bytes = data.readableBytes();
    responseBytes += bytes;
    if (responseBytes > server.settings().maxResponseBytes()) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "answer is larger than the limit");
      return;
    }
    if (refusedByUpstream) {
      if (end) {
        reportUpstreamRefusal();
      }
      return;
    }
    recording.body(data);
    if (end) {
      completeResponse();
    }
    bufferedResponse.add(data, end);
    if (!end && bytes > 0 && bufferedResponse.isForwarding()) {
      flowControl.partForwarded(bytes);
    }
  }

  @Override
  public void writable() {
    server.loop().execute(this::resumeResponse);
  }

  private void resumeResponse() {
    if (!ended && flowControl != null && flowControl.resumeReading()) {
      lastProgressNanos = server.now();
    }
  }

  /** A remembered answer was sent instead of a run. */
  void replayed() {
    ended = true;
    finish(Completion.ABANDONED);
  }

  private void completeResponse() {
    ended = true;
    boolean shed = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    if (claim != null) {
      recording.endClaim(claim, server.now());
    }
    finish(shed ? Completion.SHED : Completion.ANSWERED);
    server.metrics().recordServiceTime(rank, server.now() - ticket.startedNanos());
  }

  /** The upstream took the request and states that it did not run it. */
  private void reportUpstreamRefusal() {
    ended = true;
    if (claim != null) {
      claim.release();
    }
    boolean misdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    ErrorKind kind = misdirected ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED;
    finish(misdirected ? Completion.ABANDONED : Completion.SHED);
    sendFailure(kind, true, "the upstream answered with status " + status + " and did not run it");
  }

  @Override
  public void responseMalformed(Throwable cause) {
    fail(ErrorKind.BAD_UPSTREAM_ANSWER, "malformed answer: " + cause.getMessage());
  }

  @Override
  public void connectionLost(String reason) {
    fail(ErrorKind.OUTCOME_UNKNOWN, responseStarted ? "answer ended early: " + reason : reason);
  }

  /** Cuts off an upstream that made no progress although nothing holds it up. */
  void checkProgress(long nowNanos) {
    boolean waiting = connection != null && connection.isReading() && !body.awaitsCallerData();
    if (ended || sendCount == 0 || !waiting) {
      lastProgressNanos = nowNanos;
    } else if (nowNanos - lastProgressNanos >= server.settings().progressTimeout().toNanos()) {
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
                abort();
                server.metrics().countFailure(rank, ErrorKind.CANCELLED);
              }
            });
  }

  /** Ends the stream with a failure; it is "not run" exactly when nothing was handed over. */
  void fail(ErrorKind kind, String detail) {
    if (ended) {
      return;
    }
    boolean notRun = sendCount == 0 && kind != ErrorKind.DUPLICATE;
    server
        .invariants()
        .check(
            Invariant.NOT_RUN_IS_TRUE,
            kind.outcome() != Outcome.NOT_RUN || sendCount == 0,
            () -> "request " + head.getRequestId() + " failed with " + kind);
    reportedAsNotRun = notRun;
    abort();
    sendFailure(kind, notRun, detail);
  }

  private void sendFailure(ErrorKind kind, boolean notRun, String detail) {
    server.metrics().countFailure(rank, kind);
    response.fail(
        StreamFailure.newBuilder()
            .setKind(kind.name())
            .setNotRun(notRun)
            .setArrived(sendCount > 0)
            .setDetail(detail)
            .setLoad(server.loadReport())
            .build());
  }

  /** Gives up what the request holds; the outcome is unknown after a hand-over. */
  private void abort() {
    ended = true;
    if (ticket != null) {
      server.admission().cancel(ticket);
    }
    if (connection != null) {
      connection.abandon();
    }
    if (claim != null && sendCount > 0) {
      claim.unknown(server.now());
    } else if (claim != null) {
      claim.release();
    }
    finish(Completion.ABANDONED);
  }

  private void finish(Completion completion) {
    if (sendCount > 0 && !refusedByUpstream) {
      server.requestFinished(head, repeatProbability());
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    body.discard();
    if (ticket != null) {
      server.admission().finish(ticket, completion, timeToHeadNanos, server.now());
    }
    server.exchangeEnded(this);
  }
}
