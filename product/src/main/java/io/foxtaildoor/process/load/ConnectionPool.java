package io.foxtaildoor.process.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounded pool of HTTP/1.1 connections to one address, each with at most one request at a time.
 * Requests without a free connection are queued in FIFO order. Confined to one event loop.
 */
final class ConnectionPool {
  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final int CONNECT_TIMEOUT_MILLIS = (int) Duration.ofSeconds(5).toMillis();

  /** Receives the outcome of requests. */
  interface Listener {
    /** Builds the HTTP message of a request that is about to be sent. */
    HttpRequest createMessage(LoadRequest request);

    /** Called when the response to a request has arrived. */
    void onAnswered(LoadRequest request, StreamRecorder.Answer answer);

    /** Called when a request has ended without a response. */
    void onFailed(LoadRequest request, Failure failure);
  }

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final int maxConnections;
  private final Deque<LoadRequest> waiting = new ArrayDeque<>();
  private final Deque<Channel> idle = new ArrayDeque<>();
  private final Map<Channel, LoadRequest> requestsByChannel = new HashMap<>();
  private final Map<LoadRequest, Channel> channelsByRequest = new HashMap<>();
  private Listener listener;
  private int openCount;
  private int connectingCount;
  private boolean closed;

  ConnectionPool(EventLoop loop, InetSocketAddress address, int maxConnections) {
    this.loop = loop;
    this.address = address;
    this.maxConnections = maxConnections;
  }

  EventLoop loop() {
    return loop;
  }

  InetSocketAddress address() {
    return address;
  }

  void setListener(Listener changed) {
    listener = changed;
  }

  /** Sends a request on an idle connection, or queues it until one is available. */
  void submit(LoadRequest request) {
    Channel channel = idle.pollLast();
    if (channel != null) {
      send(channel, request);
      return;
    }
    waiting.addLast(request);
    if (openCount < maxConnections && connectingCount < waiting.size()) {
      connect();
    }
  }

  /** Closes the connection on which a request waits for its response. */
  void abandon(LoadRequest request) {
    Channel channel = channelsByRequest.remove(request);
    if (channel != null) {
      requestsByChannel.remove(channel);
      close(channel);
    }
  }

  /** Stops opening connections and discards the queued requests. */
  void stop() {
    closed = true;
    waiting.clear();
  }

  /** Closes all connections. */
  void close() {
    stop();
    for (Channel channel : requestsByChannel.keySet().toArray(Channel[]::new)) {
      close(channel);
    }
    for (Channel channel : idle.toArray(Channel[]::new)) {
      close(channel);
    }
  }

  /** Called when a connection has received the response to its request. */
  void onResponse(Channel channel, StreamRecorder.Answer answer, boolean reusable) {
    LoadRequest request = requestsByChannel.remove(channel);
    if (request == null) {
      close(channel);
      return;
    }
    channelsByRequest.remove(request);
    listener.onAnswered(request, answer);
    if (reusable) {
      release(channel);
    } else {
      close(channel);
    }
  }

  /** Called when a connection has failed or was closed. */
  void onClosed(Channel channel, Failure failure) {
    idle.remove(channel);
    LoadRequest request = requestsByChannel.remove(channel);
    if (request != null) {
      channelsByRequest.remove(request);
      listener.onFailed(request, failure);
    }
  }

  private static void close(Channel channel) {
    ChannelFuture unused = channel.close();
  }

  private void release(Channel channel) {
    LoadRequest next = nextWaiting();
    if (next != null) {
      send(channel, next);
    } else if (channel.isActive() && !closed) {
      idle.addLast(channel);
    } else {
      close(channel);
    }
  }

  private LoadRequest nextWaiting() {
    LoadRequest next = waiting.pollFirst();
    while (next != null && next.phase() == LoadRequest.Phase.DONE) {
      next = waiting.pollFirst();
    }
    return next;
  }

  private void send(Channel channel, LoadRequest request) {
    request.setPhase(LoadRequest.Phase.SENT);
    requestsByChannel.put(channel, request);
    channelsByRequest.put(request, channel);
    ChannelFuture unused =
        channel
            .writeAndFlush(listener.createMessage(request))
            .addListener(
                done -> {
                  if (!done.isSuccess()) {
                    onClosed(channel, Failure.CONNECTION_LOST);
                    close(channel);
                  }
                });
  }

  private void connect() {
    openCount++;
    connectingCount++;
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new Initializer());
    ChannelFuture connected = bootstrap.connect(address);
    ChannelFuture unused = connected.addListener(done -> onConnected(connected));
  }

  private void onConnected(ChannelFuture connected) {
    connectingCount--;
    if (connected.isSuccess()) {
      Channel channel = connected.channel();
      ChannelFuture unused = channel.closeFuture().addListener(done -> onConnectionClosed());
      release(channel);
      return;
    }
    openCount--;
    // Each failed connection attempt fails one request. Otherwise the pool would reconnect to a
    // dead target endlessly.
    LoadRequest request = nextWaiting();
    if (request != null) {
      listener.onFailed(request, Failure.CONNECT_FAILED);
    }
    connectForWaiting();
  }

  private void onConnectionClosed() {
    openCount--;
    connectForWaiting();
  }

  private void connectForWaiting() {
    if (!closed && openCount < maxConnections && connectingCount < waiting.size()) {
      connect();
    }
  }

  /** Sets up the pipeline of a new connection. */
  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new HttpClientCodec(),
              new HttpObjectAggregator(MAX_RESPONSE_BYTES),
              new ResponseHandler(ConnectionPool.this));
    }
  }
}
