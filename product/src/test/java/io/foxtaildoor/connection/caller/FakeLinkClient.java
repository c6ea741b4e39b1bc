package io.foxtaildoor.connection.caller;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.connection.link.LinkClient;
import io.foxtaildoor.connection.link.RequestStream;
import io.foxtaildoor.connection.link.ResponseListener;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** Fake link client: the test itself responds on the opened streams. */
final class FakeLinkClient implements LinkClient {
  /** Limits how long a failing test waits; passing tests do not depend on it. */
  static final int TIMEOUT_SECONDS = 20;

  final AtomicInteger openedStreams = new AtomicInteger();
  volatile boolean writable = true;
  private final BlockingQueue<Stream> streams = new LinkedBlockingQueue<>();

  @Override
  public RequestStream open(NodeRecord target, RequestStart head, ResponseListener listener) {
    Stream stream = new Stream(target, head, listener);
    openedStreams.incrementAndGet();
    streams.add(stream);
    return stream;
  }

  Stream nextStream() throws InterruptedException {
    Stream stream = streams.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (stream == null) {
      throw new AssertionError("no stream was opened");
    }
    return stream;
  }

  @Override
  public void close() {}

  /** An opened stream. */
  final class Stream implements RequestStream {
    final NodeRecord target;
    final RequestStart head;
    final ResponseListener listener;
    private int consumedBytes;
    private final ByteArrayOutputStream requestBody = new ByteArrayOutputStream();
    private boolean ended;
    private boolean cancelled;

    Stream(NodeRecord target, RequestStart head, ResponseListener listener) {
      this.target = target;
      this.head = head;
      this.listener = listener;
      this.ended = head.getEnd();
    }

    @Override
    public synchronized void send(ByteBuf data, boolean end) {
      byte[] bytes = new byte[data.readableBytes()];
      data.readBytes(bytes);
      data.release();
      requestBody.writeBytes(bytes);
      ended |= end;
      notifyAll();
    }

    @Override
    public boolean isWritable() {
      return writable;
    }

    @Override
    public synchronized void consumed(int bytes) {
      consumedBytes += bytes;
      notifyAll();
    }

    synchronized void awaitConsumedBytes(int count) throws InterruptedException {
      awaitTrue(() -> consumedBytes >= count, "the consumption of response bytes");
    }

    private void awaitTrue(BooleanSupplier condition, String what) throws InterruptedException {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (!condition.getAsBoolean()) {
        long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        if (left <= 0) {
          throw new AssertionError("timed out waiting for " + what);
        }
        wait(left);
      }
    }

    @Override
    public synchronized void cancel(String reason) {
      cancelled = true;
      notifyAll();
    }

    /** Waits for the end of the request body and returns the body. */
    synchronized byte[] awaitWholeBody() throws InterruptedException {
      awaitTrue(() -> ended, "the end of the request body");
      return receivedBody();
    }

    synchronized byte[] receivedBody() {
      return requestBody.toByteArray();
    }

    synchronized void awaitBodyBytes(int count) throws InterruptedException {
      awaitTrue(() -> requestBody.size() >= count, "bytes of the request body");
    }

    synchronized void awaitCancelled() throws InterruptedException {
      awaitTrue(() -> cancelled, "the cancellation of the stream");
    }

    void sendHead(int status, boolean end, String... headers) {
      ResponseStart.Builder start = ResponseStart.newBuilder().setStatus(status).setEnd(end);
      for (int i = 0; i < headers.length; i += 2) {
        start.addHeaders(Header.newBuilder().setName(headers[i]).setValue(headers[i + 1]));
      }
      listener.onResponseStart(start.build());
    }

    void sendBody(String data, boolean end) {
      listener.onBody(Unpooled.copiedBuffer(data, StandardCharsets.UTF_8), end);
    }

    void sendResponse(String data) {
      sendHead(200, false, "content-length", Integer.toString(data.length()));
      sendBody(data, true);
    }

    void fail(ErrorKind kind, boolean notRun) {
      listener.onFailure(
          StreamFailure.newBuilder()
              .setKind(kind.name())
              .setNotRun(notRun)
              .setDetail("test")
              .build());
    }
  }
}
