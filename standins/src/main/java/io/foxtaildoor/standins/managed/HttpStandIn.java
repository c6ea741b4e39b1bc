package io.foxtaildoor.standins.managed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Base class of HTTP servers whose whole state is confined to one event loop. */
abstract class HttpStandIn implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 4 << 20;
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ChannelGroup connections = new DefaultChannelGroup(group.next());
  private Channel listener;

  /** Handles a request. The answer is sent with {@link #answer}, at once or later. */
  abstract void serve(Channel channel, FullHttpRequest request);

  /** Binds the listener to an address; port 0 chooses a free port. */
  final void bind(InetSocketAddress requestedAddress) {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new RequestHandler());
                  }
                })
            .bind(requestedAddress)
            .syncUninterruptibly()
            .channel();
  }

  /** Address on which the stand-in listens. */
  public final InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns the group with the single event loop to which all state is confined. */
  final EventLoopGroup eventLoop() {
    return group;
  }

  static FullHttpResponse response(int status, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    HttpUtil.setContentLength(response, body.length);
    return response;
  }

  static void answer(Channel channel, FullHttpResponse response) {
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(
        io.netty.channel.ChannelHandlerContext context, FullHttpRequest request) {
      serve(context.channel(), request);
    }

    @Override
    public void exceptionCaught(io.netty.channel.ChannelHandlerContext context, Throwable cause) {
      context.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    connections.close().syncUninterruptibly();
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }
}
