package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.connection.link.RequestListener;
import io.foxtaildoor.connection.link.ResponseStream;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.foxtaildoor.request.admission.AdmissionSettings;
import io.foxtaildoor.request.idempotency.KeyRegistrySettings;
import io.foxtaildoor.version.routing.Service;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An {@link UpstreamServer} and request streams that record their responses. */
final class UpstreamFixture implements AutoCloseable {
  static final long WAIT_SECONDS = 20;
  static final ServiceId SERVICE = new ServiceId("bookings");

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final Invariants invariants = new Invariants((invariant, detail) -> {});
  final UpstreamServer server;

  /** For each request that the upstream ran, the probability that it was a repeat. */
  final List<Double> repeatProbabilities = new CopyOnWriteArrayList<>();

  private final long startedAt = System.nanoTime();
  volatile Service service;

  UpstreamFixture(int slots, Duration progressTimeout) {
    this(slots, progressTimeout, 0, HeaderDialect.STANDARD);
  }

  UpstreamFixture(
      int slots, Duration progressTimeout, int bufferedResponseBytes, HeaderDialect headers) {
    service =
        new Service(SERVICE, new TeamId("team"), Set.of("*"), slots, 20, Map.of(), Duration.ZERO);
    UpstreamSettings settings =
        new UpstreamSettings(
            Duration.ofSeconds(5),
            progressTimeout,
            Duration.ofSeconds(20),
            Duration.ofSeconds(20),
            bufferedResponseBytes,
            headers,
            1 << 24,
            1 << 22,
            AdmissionSettings.defaults(),
            KeyRegistrySettings.defaults());
    server =
        new UpstreamServer(
            group,
            settings,
            id -> Optional.ofNullable(service).filter(configured -> configured.id().equals(id)),
            invariants,
            new SimpleMeterRegistry(),
            new RequestRecorder(),
            System::nanoTime);
  }

  void attach(InetSocketAddress address) {
    server.attach(address, new UpstreamAnnouncement(SERVICE, 0, startedAt));
  }

  static RequestStart.Builder requestHead(String method, boolean end) {
    return RequestStart.newBuilder()
        .setRequestId("r")
        .setService(SERVICE.value())
        .setMethod(method)
        .setTarget("/x")
        .setRankValue(Rank.NORMAL.compareTo(Rank.URGENT))
        .setRemainingMicros(TimeUnit.SECONDS.toMicros(60))
        .setEnd(end);
  }

  static RequestStart.Builder withHeader(RequestStart.Builder head, String name, String value) {
    return head.addHeaders(Header.newBuilder().setName(name).setValue(value));
  }

  Call call(RequestStart.Builder head) {
    Call call = new Call(group.next());
    call.request = server.accept(head.build(), call);
    return call;
  }

  private final class RequestRecorder implements UpstreamRequestListener {
    @Override
    public void requestStarted(long deadlineNanos) {}

    @Override
    public void requestFinished(
        ServiceId id, double repeatProbability, boolean idempotent, long nowNanos) {
      repeatProbabilities.add(repeatProbability);
    }
  }

  /** Blocks all event loops until a latch opens. */
  void blockLoops(CountDownLatch latch) {
    for (EventExecutor loop : group) {
      loop.execute(
          () -> {
            try {
              latch.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
    }
  }

  static <T> T await(CompletableFuture<T> future) {
    try {
      return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  @Override
  public void close() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** One request stream, which records its response. */
  static final class Call implements ResponseStream {
    final CompletableFuture<ResponseStart> head = new CompletableFuture<>();
    final CompletableFuture<String> body = new CompletableFuture<>();
    final CompletableFuture<StreamFailure> failure = new CompletableFuture<>();
    final AtomicInteger consumed = new AtomicInteger();
    final AtomicInteger received = new AtomicInteger();
    volatile boolean writable = true;
    RequestListener request;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final EventLoop loop;

    Call(EventLoop loop) {
      this.loop = loop;
    }

    void send(String text, boolean end) {
      request.onBody(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1), end);
    }

    /** Waits for the failure, checks whether it is reported as not run, and returns its kind. */
    ErrorKind failedWith(boolean notRun) {
      StreamFailure reported = await(failure);
      if (reported.getNotRun() != notRun) {
        throw new AssertionError("unexpected outcome of " + reported.getKind());
      }
      return ErrorKind.valueOf(reported.getKind());
    }

    @Override
    public void start(ResponseStart start) {
      head.complete(start);
    }

    @Override
    public void send(ByteBuf data, boolean end) {
      bytes.writeBytes(ByteBufUtil.getBytes(data));
      received.addAndGet(data.readableBytes());
      data.release();
      if (end) {
        body.complete(bytes.toString(StandardCharsets.ISO_8859_1));
      }
    }

    @Override
    public void fail(StreamFailure reported) {
      failure.complete(reported);
    }

    @Override
    public boolean isWritable() {
      return writable;
    }

    @Override
    public void consumed(int count) {
      consumed.addAndGet(count);
    }

    @Override
    public EventLoop eventLoop() {
      return loop;
    }
  }
}
