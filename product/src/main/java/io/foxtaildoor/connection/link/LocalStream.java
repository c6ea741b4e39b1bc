package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A stream within one process, with a window in each direction as on a link. */
final class LocalStream {
  /** Bytes on the way in one direction at which the sender should stop. */
  private static final int WINDOW_BYTES = 64 << 10;

  private final EventLoop loop;
  private final ResponseListener caller;
  private final AtomicInteger requestBytes = new AtomicInteger();
  private final AtomicInteger responseBytes = new AtomicInteger();
  private final AtomicBoolean finished = new AtomicBoolean();
  private final CallerEnd callerEnd = new CallerEnd();
  private final UpstreamEnd upstreamEnd = new UpstreamEnd();
  private RequestListener upstream;

  LocalStream(EventLoop loop, ResponseListener caller) {
    this.loop = loop;
    this.caller = caller;
  }

  /** Sets the listener of the request's rest, before any part of it is sent. */
  void accepted(RequestListener listener) {
    upstream = listener;
  }

  RequestStream callerEnd() {
    return callerEnd;
  }

  ResponseStream upstreamEnd() {
    return upstreamEnd;
  }

  /** Takes bytes out of a window; true when the sender may go on. */
  private static boolean take(AtomicInteger window, int bytes) {
    int before = window.getAndAdd(-bytes);
    return before >= WINDOW_BYTES && before - bytes < WINDOW_BYTES;
  }

  private boolean finish() {
    return finished.compareAndSet(false, true);
  }

  private final class CallerEnd implements RequestStream {
    @Override
    public void send(ByteBuf data, boolean end) {
      if (finished.get()) {
        data.release();
      } else {
        requestBytes.addAndGet(data.readableBytes());
        upstream.body(data, end);
      }
    }

    @Override
    public boolean isWritable() {
      return requestBytes.get() < WINDOW_BYTES;
    }

    @Override
    public void consumed(int bytes) {
      if (take(responseBytes, bytes) && !finished.get()) {
        upstream.writable();
      }
    }

    @Override
    public void cancel(String reason) {
      if (finish()) {
        upstream.cancelled(reason);
      }
    }
  }

  private final class UpstreamEnd implements ResponseStream {
    @Override
    public void start(ResponseStart head) {
      if (head.getEnd() ? finish() : !finished.get()) {
        caller.started(head);
      }
    }

    @Override
    public void send(ByteBuf data, boolean end) {
      if (end ? finish() : !finished.get()) {
        responseBytes.addAndGet(data.readableBytes());
        caller.body(data, end);
      } else {
        data.release();
      }
    }

    @Override
    public void fail(StreamFailure failure) {
      if (finish()) {
        caller.failed(failure);
      }
    }

    @Override
    public boolean isWritable() {
      return responseBytes.get() < WINDOW_BYTES;
    }

    @Override
    public void consumed(int bytes) {
      if (take(requestBytes, bytes) && !finished.get()) {
        caller.writable();
      }
    }

    @Override
    public EventLoop eventLoop() {
      return loop;
    }
  }
}
