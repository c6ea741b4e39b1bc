package io.foxtaildoor.connection.caller;

import io.foxtaildoor.connection.link.RequestStream;
import io.foxtaildoor.connection.link.ResponseListener;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.request.balance.AttemptResult;
import io.foxtaildoor.request.balance.Selection;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;

/**
 * One stream of an exchange; passes its events, in their order, to the event loop of the caller's
 * connection. Events are never handled within the call that opens the stream.
 */
final class Attempt implements ResponseListener {
  private final Exchange exchange;
  private final EventLoop loop;
  private final Selection selection;
  private final int number;
  private final long sentNanos;
  private RequestStream stream;
  private AttemptResult result = AttemptResult.FAILED;
  private long responseHeadNanos;
  private boolean responseHeadReceived;

  Attempt(Exchange exchange, EventLoop loop, Selection selection, int number, long sentNanos) {
    this.exchange = exchange;
    this.loop = loop;
    this.selection = selection;
    this.number = number;
    this.sentNanos = sentNanos;
  }

  Selection selection() {
    return selection;
  }

  /** Number of the attempt, from 1. */
  int number() {
    return number;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Records the arrival of the head of the answer and what its status says. */
  void recordResponseHead(AttemptResult status, long nowNanos) {
    result = status;
    responseHeadNanos = nowNanos;
    responseHeadReceived = true;
  }

  /** What a whole answer says about the instance. */
  AttemptResult result() {
    return result;
  }

  /** Time from sending to the head of the answer, or until now when there is none. */
  long latencyNanos(long nowNanos) {
    return (responseHeadReceived ? responseHeadNanos : nowNanos) - sentNanos;
  }

  RequestStream stream() {
    return stream;
  }

  /** Sets the stream once it is open. */
  void setStream(RequestStream opened) {
    stream = opened;
  }

  @Override
  public void started(ResponseStart head) {
    executeOnLoop(() -> exchange.onResponseHead(this, head), null);
  }

  @Override
  public void body(ByteBuf data, boolean end) {
    executeOnLoop(() -> exchange.onResponseBody(this, data, end), data);
  }

  @Override
  public void failed(StreamFailure failure) {
    executeOnLoop(() -> exchange.onAttemptFailed(this, failure), null);
  }

  @Override
  public void writable() {
    executeOnLoop(exchange::onStreamWritable, null);
  }

  private void executeOnLoop(Runnable event, ByteBuf data) {
    try {
      loop.execute(event);
    } catch (RejectedExecutionException e) {
      // The event loop stopped with its connections, so nobody waits for the answer.
      if (data != null) {
        data.release();
      }
    }
  }
}
