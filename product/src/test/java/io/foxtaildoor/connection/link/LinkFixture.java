package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.LinkPurpose;
import io.foxtaildoor.protocol.Pong;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Starts a peer listener on the loopback interface and provides clients and raw sockets that
 * exchange frames with it.
 */
final class LinkFixture implements AutoCloseable {
  /** Timeout for expected events; generous, because the tests do not check how long they take. */
  static final long WAIT_SECONDS = 20;

  static final LinkSettings SETTINGS =
      LinkSettings.defaults()
          .withPings(Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(20))
          .withConnectTimeoutAndBackoff(
              Duration.ofSeconds(5), Duration.ofMillis(1), Duration.ofMillis(2));

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
  final LinkMetrics metrics = new LinkMetrics(new SimpleMeterRegistry());
  final Invariants invariants = new Invariants((invariant, detail) -> {});
  final PeerListener listener;
  final InetSocketAddress address;

  LinkFixture(StreamAcceptor acceptor, Map<Frame.BodyCase, ControlHandler> controls) {
    listener =
        new PeerListener(
            group, SETTINGS, identity("server"), metrics, System::nanoTime, acceptor, controls);
    address = await(listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
  }

  static LinkIdentity identity(String node) {
    return new LinkIdentity("test", new NodeId(node), () -> 1);
  }

  NettyLinkClient client(LinkSettings settings, LongSupplier clock) {
    return new NettyLinkClient(
        group, settings, identity("client"), metrics, invariants, clock, new SplittableRandom(1));
  }

  NettyLinkClient client() {
    return client(SETTINGS, System::nanoTime);
  }

  static NodeRecord node(String id, InetSocketAddress address) {
    return new NodeRecord(
        new NodeId(id),
        address,
        new RegionId("r"),
        new DataCentreId("d"),
        1,
        NodeState.ALIVE,
        Optional.empty());
  }

  NodeRecord server() {
    return node("server", address);
  }

  static RequestStart requestHead(String requestId, boolean end) {
    return RequestStart.newBuilder().setRequestId(requestId).setEnd(end).build();
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
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Collects a response and reports its body bytes as consumed at once. */
  static final class ResponseCollector implements ResponseListener {
    final CompletableFuture<byte[]> completeBody = new CompletableFuture<>();
    final CompletableFuture<StreamFailure> failure = new CompletableFuture<>();
    final CompletableFuture<ResponseStart> head = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    volatile RequestStream stream;

    @Override
    public void onResponseStart(ResponseStart start) {
      head.complete(start);
      if (start.getEnd()) {
        completeBody.complete(new byte[0]);
      }
    }

    @Override
    public void onBody(ByteBuf data, boolean end) {
      bytes.writeBytes(ByteBufUtil.getBytes(data));
      int size = data.readableBytes();
      data.release();
      if (end) {
        completeBody.complete(bytes.toByteArray());
      } else if (stream != null) {
        stream.consumed(size);
      }
    }

    @Override
    public void onFailure(StreamFailure reported) {
      failure.complete(reported);
    }

    @Override
    public void onWritable() {}
  }

  /** A raw connection that sends and receives single frames. */
  static final class RawPeer implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    RawPeer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
      in = new DataInputStream(socket.getInputStream());
      out = new DataOutputStream(socket.getOutputStream());
    }

    static RawPeer connect(InetSocketAddress address) throws IOException {
      return new RawPeer(new Socket(address.getAddress(), address.getPort()));
    }

    static RawPeer accept(ServerSocket server) throws IOException {
      server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
      return new RawPeer(server.accept());
    }

    void write(Frame frame) throws IOException {
      byte[] bytes = frame.toByteArray();
      out.writeInt(bytes.length);
      out.write(bytes);
      out.flush();
    }

    void writeRaw(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    void hello(String node, LinkPurpose purpose, String expected) throws IOException {
      write(Frame.newBuilder().setHello(identity(node).hello(purpose, expected)).build());
    }

    /** Reads the next frame that is not a ping; replies to pings. */
    Frame read() throws IOException {
      while (true) {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        Frame frame = Frame.parseFrom(bytes);
        if (frame.getBodyCase() != Frame.BodyCase.PING) {
          return frame;
        }
        sendPong(frame.getPing().getSequence());
      }
    }

    private void sendPong(long sequence) {
      try {
        write(Frame.newBuilder().setPong(Pong.newBuilder().setSequence(sequence)).build());
      } catch (IOException e) {
        // The other side has closed the connection; frames that it sent earlier can still be read.
        return;
      }
    }

    /** Whether the other side closed or reset the connection. */
    boolean isClosedByPeer() {
      try {
        in.skipNBytes(Long.MAX_VALUE);
        return false;
      } catch (java.io.EOFException e) {
        return true;
      } catch (IOException e) {
        return e instanceof java.net.SocketException;
      }
    }

    /** Whether the other side reset the connection, which discards its unsent bytes. */
    boolean isReset() {
      try {
        in.skipNBytes(Long.MAX_VALUE);
        return false;
      } catch (java.io.EOFException e) {
        return false;
      } catch (IOException e) {
        return e instanceof java.net.SocketException;
      }
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
