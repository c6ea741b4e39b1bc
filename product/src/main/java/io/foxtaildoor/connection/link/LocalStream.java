package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A stream within one process, with a flow control window in each direction as on a link. */
final class LocalStream {
  /** Unconsumed bytes in one direction at which the sender should stop. */
  private static final int WINDOW_BYTES = 64 << 10;

  private final EventLoop loop;
  private final ResponseListener responseListener;
  private final AtomicInteger requestBytesInFlight = new AtomicInteger();
  private final AtomicInteger responseBytesInFlight = new AtomicInteger();
  private final AtomicBoolean finished = new AtomicBoolean();
  private final CallerEnd callerEnd = new CallerEnd();
  private final UpstreamEnd upstreamEnd = new UpstreamEnd();
  private RequestListener requestListener;

  LocalStream(EventLoop loop, ResponseListener responseListener) {
    this.loop = loop;
    this.responseListener = responseListener;
  }

  /** Sets the listener of the request body; must be called before any part of it is sent. */
  void setRequestListener(RequestListener listener) {
    requestListener = listener;
  }

  RequestStream callerEnd() {
    return callerEnd;
  }

  ResponseStream upstreamEnd() {
    return upstreamEnd;
  }

  /** Releases consumed bytes; returns true when this makes the sender writable again. */
  private static boolean releaseBytes(AtomicInteger window, int bytes) {
    int before = window.getAndAdd(-bytes);
    return before >= WINDOW_BYTES && before - bytes < WINDOW_BYTES;
  }

  private boolean tryFinish() {
    return finished.compareAndSet(false, true);
  }

  private final class CallerEnd implements RequestStream {
    @Override
    public void send(ByteBuf data, boolean end) {
      if (finished.get()) {
        data.release();
      } else {
        requestBytesInFlight.addAndGet(data.readableBytes());
        requestListener.onBody(data, end);
      }
    }

    @Override
    public boolean isWritable() {
      return requestBytesInFlight.get() < WINDOW_BYTES;
    }

    @Override
    public void consumed(int bytes) {
      if (releaseBytes(responseBytesInFlight, bytes) && !finished.get()) {
        requestListener.onWritable();
      }
    }

    @Override
    public void cancel(String reason) {
      if (tryFinish()) {
        requestListener.onCancelled(reason);
      }
    }
  }

  private final class UpstreamEnd implements ResponseStream {
    @Override
    public void start(ResponseStart head) {
      if (head.getEnd() ? tryFinish() : !finished.get()) {
        responseListener.onResponseStart(head);
      }
    }

    @Override
    public void send(ByteBuf data, boolean end) {
      if (end ? tryFinish() : !finished.get()) {
        responseBytesInFlight.addAndGet(data.readableBytes());
        responseListener.onBody(data, end);
      } else {
        data.release();
      }
    }

    @Override
    public void fail(StreamFailure failure) {
      if (tryFinish()) {
        responseListener.onFailure(failure);
      }
    }

    @Override
    public boolean isWritable() {
      return responseBytesInFlight.get() < WINDOW_BYTES;
    }

    @Override
    public void consumed(int bytes) {
      if (releaseBytes(requestBytesInFlight, bytes) && !finished.get()) {
        responseListener.onWritable();
      }
    }

    @Override
    public EventLoop eventLoop() {
      return loop;
    }
  }
}
