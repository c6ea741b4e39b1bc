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
 * One attempt to send the request of an exchange on a stream. Events of the stream are forwarded in
 * order to the event loop of the caller's connection, and are never handled within the call that
 * opens the stream.
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

  /** Returns the number of the attempt, starting at 1. */
  int number() {
    return number;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Records when the response head arrived and which result its status stands for. */
  void recordResponseHead(AttemptResult status, long nowNanos) {
    result = status;
    responseHeadNanos = nowNanos;
    responseHeadReceived = true;
  }

  /** Returns the result for the instance if the response completes. */
  AttemptResult result() {
    return result;
  }

  /**
   * Returns the time from sending the attempt to the arrival of the response head, or to {@code
   * nowNanos} if no response head has arrived.
   */
  long latencyNanos(long nowNanos) {
    return (responseHeadReceived ? responseHeadNanos : nowNanos) - sentNanos;
  }

  RequestStream stream() {
    return stream;
  }

  /** Sets the stream after it was opened. */
  void setStream(RequestStream opened) {
    stream = opened;
  }

  @Override
  public void onResponseStart(ResponseStart head) {
    executeOnLoop(() -> exchange.onResponseHead(this, head), null);
  }

  @Override
  public void onBody(ByteBuf data, boolean end) {
    executeOnLoop(() -> exchange.onResponseBody(this, data, end), data);
  }

  @Override
  public void onFailure(StreamFailure failure) {
    executeOnLoop(() -> exchange.onAttemptFailed(this, failure), null);
  }

  @Override
  public void onWritable() {
    executeOnLoop(exchange::onStreamWritable, null);
  }

  private void executeOnLoop(Runnable event, ByteBuf data) {
    try {
      loop.execute(event);
    } catch (RejectedExecutionException e) {
      // The event loop was shut down together with its connections, so no caller waits for the
      // response.
      if (data != null) {
        data.release();
      }
    }
  }
}
