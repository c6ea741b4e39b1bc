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
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One request, from its admission to the end of its response. Its state is confined to the server's
 * event loop; the events of the stream are dispatched to that loop.
 */
final class Exchange implements RequestListener, UpstreamConnection.ExchangeListener {
  private static final int PERMILLE = 1_000;

  /**
   * Number of interim responses and responses to other requests that are skipped. An upstream that
   * writes them without end would keep the event loop busy until the deadline.
   */
  private static final int MAX_SKIPPED_RESPONSES = 32;

  /**
   * Number of periodic checks within which a response to another request must end, about one
   * second. One that does not end may hide the response to this request, which would wait for its
   * deadline. Checks are counted, because a stalled process finds unread bytes after the stall.
   */
  private static final int MAX_STRAY_CHECKS = 4;

  private final UpstreamServer server;
  private final RequestStart head;
  private final ResponseStream response;
  private final Rank rank;
  private final long acceptedNanos;
  private final long deadlineNanos;
  private final RequestBody body;
  private KeyClaimResult.Claim claim;
  private ResponseRecording recording = ResponseRecording.none();
  private Ticket<Exchange> ticket;
  private UpstreamPool pool;
  private UpstreamConnection connection;
  private Future<?> deadlineTimer;
  private int sendCount;

  /**
   * Set directly by the cancelling thread, because a request whose admission is already queued on
   * the event loop when the cancel arrives must not run.
   */
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
  private int skippedResponses;
  private long lastProgressNanos;
  private int strayChecks;

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

  /**
   * Monotonic time by which the response should be ready to meet the request's latency objective;
   * the deadline if the request states no objective.
   */
  long objectiveNanos() {
    return head.getHasObjective()
        ? acceptedNanos + TimeUnit.MICROSECONDS.toNanos(head.getObjectiveMicros())
        : deadlineNanos;
  }

  boolean isEnded() {
    return ended;
  }

  /** Checks the declared length of the body, before any other decision about the request. */
  boolean hasValidContentLength() {
    try {
      body.setDeclaredLength(HttpHeadConverter.contentLength(head));
      return true;
    } catch (FoxtaildoorException e) {
      return false;
    }
  }

  /** The idempotency key is claimed for this request, so its response is recorded. */
  void keyClaimed(KeyClaimResult.Claim newClaim) {
    claim = newClaim;
    recording = ResponseRecording.upTo(server.settings().keys().maxResponseBytes());
  }

  /** The request was queued for a slot; it fails if it is not answered by its deadline. */
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
      fail(ErrorKind.EXPIRED, "deadline passed while the request was queued");
    } else if (sendCount == 0) {
      fail(ErrorKind.EXPIRED, "deadline passed before a connection was ready");
    } else {
      fail(ErrorKind.TIMEOUT, "deadline passed at the upstream");
    }
  }

  /**
   * Probability that the request is a repeat, from 0 to 1. Values out of range, which a faulty node
   * may send, are clamped.
   */
  private double repeatProbability() {
    return Math.max(0, Math.min(PERMILLE, head.getRepeatPermille())) / (double) PERMILLE;
  }

  /** Sends the request, which now holds a slot, over a connection of the pool. */
  void start(UpstreamPool newPool) {
    pool = newPool;
    lastProgressNanos = server.now();
    acquireConnection();
  }

  private void acquireConnection() {
    pool.acquire(head.getRequestId(), this::connected, e -> fail(e.kind(), e.getMessage()));
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
    connection.startExchange(this, head.getRequestId(), request, head.getEnd());
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
            () ->
                "request "
                    + head.getRequestId()
                    + " was sent to the upstream after it was reported as not run");
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
      // A reused connection may have been closed by the upstream while it was idle, which does not
      // mean that the upstream is unreachable, so the request is sent on another connection.
      acquireConnection();
    } else {
      fail(
          ErrorKind.UPSTREAM_UNREACHABLE,
          "the connection to the upstream closed before the request was written");
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
  public void onBody(ByteBuf data, boolean end) {
    server.loop().execute(() -> receiveBody(data, end));
  }

  private void receiveBody(ByteBuf data, boolean end) {
    if (ended) {
      data.release();
      return;
    }
    ErrorKind broken = body.add(data, end);
    if (broken != null) {
      // If part of the request was already sent, the upstream sees a request that its caller
      // aborted.
      boolean unsent = sendCount == 0 || broken.outcome() == Outcome.UNKNOWN;
      fail(
          unsent ? broken : ErrorKind.CANCELLED,
          "the request body does not match its declared length or exceeds the size limit");
      return;
    }
    bodyWritable();
  }

  @Override
  public boolean isResponseToRequest(HttpResponse httpResponse) {
    return ResponseChecks.belongsTo(httpResponse, server.settings().headers(), head.getRequestId());
  }

  @Override
  public boolean responseHead(HttpResponse httpResponse) {
    lastProgressNanos = server.now();
    HeaderDialect dialect = server.settings().headers();
    Optional<String> joinedHead = ResponseChecks.findJoinedHead(httpResponse, dialect);
    if (joinedHead.isPresent()) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, joinedHead.get());
    } else if (httpResponse.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail(
          ErrorKind.BAD_UPSTREAM_ANSWER,
          "the upstream switched protocols without a request to do so");
    } else if (!isResponseToRequest(httpResponse)) {
      server.metrics().countStrayResponse();
      logStrayResponse(httpResponse, dialect);
      strayChecks = 0;
      countSkippedResponse();
      return false;
    } else if (sendCount == 0) {
      // A response that arrives before any byte of the request was sent belongs to another
      // exchange.
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "the upstream responded before the request was sent");
    } else if (httpResponse.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      if (httpResponse.status().equals(HttpResponseStatus.CONTINUE)) {
        continueBody();
      }
      countSkippedResponse();
    } else if (!ResponseChecks.isAuthentic(httpResponse, dialect)) {
      fail(
          ErrorKind.BAD_UPSTREAM_ANSWER,
          "the response lacks the request id, has a content encoding or not exactly one signature");
    } else if (ResponseChecks.statesNotRun(httpResponse, dialect)) {
      body.finalResponseReceived();
      refusedByUpstream = true;
      status = httpResponse.status().code();
    } else {
      body.finalResponseReceived();
      responseStarted = true;
      status = httpResponse.status().code();
      timeToHeadNanos = lastProgressNanos - ticket.startedNanos();
      ResponseStart.Builder start =
          HttpHeadConverter.toResponseStart(httpResponse).setLoad(server.loadReport());
      recording.recordHead(start, dialect.requestId());
      bufferedResponse.start(start.build());
    }
    return true;
  }

  private void logStrayResponse(HttpResponse httpResponse, HeaderDialect dialect) {
    String namedId = httpResponse.headers().get(dialect.requestId());
    SentRequestIds sentIds = connection.sentIds();
    server
        .strayResponseLog()
        .log(
            head.getRequestId(),
            namedId,
            httpResponse.status().code(),
            sentIds.mayContain(namedId),
            sentIds.count(),
            server.now());
  }

  private void countSkippedResponse() {
    skippedResponses++;
    if (skippedResponses > MAX_SKIPPED_RESPONSES) {
      fail(
          ErrorKind.BAD_UPSTREAM_ANSWER,
          "the upstream sent too many interim responses or responses to other requests");
    }
  }

  @Override
  public void responseBody(ByteBuf data, boolean end) {
    lastProgressNanos = server.now();
    int bytes = data.readableBytes();
    responseBytes += bytes;
    if (responseBytes > server.settings().maxResponseBytes()) {
      fail(ErrorKind.BAD_UPSTREAM_ANSWER, "the response is larger than the size limit");
      return;
    }
    if (refusedByUpstream) {
      if (end) {
        reportUpstreamRefusal();
      }
      return;
    }
    recording.recordBody(data);
    if (end) {
      completeResponse();
    }
    bufferedResponse.add(data, end);
    if (!end && bytes > 0 && bufferedResponse.isForwarding()) {
      flowControl.partForwarded(bytes);
    }
  }

  @Override
  public void onWritable() {
    server.loop().execute(this::resumeResponse);
  }

  private void resumeResponse() {
    if (!ended && flowControl != null && flowControl.resumeReading()) {
      lastProgressNanos = server.now();
    }
  }

  /** A remembered response was sent, so the upstream does not run the request. */
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

  /**
   * Ends an exchange whose request the upstream received but, as its response states, did not run.
   */
  private void reportUpstreamRefusal() {
    ended = true;
    if (claim != null) {
      claim.release();
    }
    boolean misdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    ErrorKind kind = misdirected ? ErrorKind.NO_UPSTREAM : ErrorKind.OVERLOADED;
    finish(misdirected ? Completion.ABANDONED : Completion.SHED);
    sendFailure(
        kind,
        true,
        "the upstream responded with status " + status + " and did not run the request");
  }

  @Override
  public void responseMalformed(Throwable cause) {
    fail(ErrorKind.BAD_UPSTREAM_ANSWER, "malformed response: " + cause.getMessage());
  }

  @Override
  public void connectionLost(String reason) {
    fail(
        ErrorKind.OUTCOME_UNKNOWN,
        responseStarted ? "the response ended early: " + reason : reason);
  }

  /**
   * Fails the exchange if the upstream made no progress although it was not waiting for this node.
   */
  void checkProgress(long nowNanos) {
    boolean waiting = connection != null && connection.isReading() && !body.awaitsCallerData();
    if (ended || sendCount == 0 || !waiting) {
      lastProgressNanos = nowNanos;
    } else if (nowNanos - lastProgressNanos >= server.settings().progressTimeout().toNanos()) {
      fail(ErrorKind.TIMEOUT, "the upstream made no progress within the progress timeout");
    } else if (connection.isReadingStray()) {
      strayChecks++;
      if (strayChecks >= MAX_STRAY_CHECKS) {
        fail(ErrorKind.BAD_UPSTREAM_ANSWER, "a response to another request did not end in time");
      }
    }
  }

  @Override
  public void onCancelled(String reason) {
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

  /**
   * Ends the stream with a failure. The failure is reported as "not run" if no byte of the request
   * was sent to the upstream and the request is no duplicate of one that was.
   */
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

  /**
   * Releases the slot, the connection and the idempotency key. If part of the request was sent, the
   * outcome of the key is marked as unknown.
   */
  private void abort() {
    ended = true;
    if (ticket != null) {
      server.admission().cancel(ticket);
    }
    if (connection != null) {
      connection.abandon();
    }
    if (claim != null && sendCount > 0) {
      claim.recordUnknownOutcome(server.now());
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
