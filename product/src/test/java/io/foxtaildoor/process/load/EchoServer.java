package io.foxtaildoor.process.load;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * HTTP test server whose behaviour depends on the request path: it echoes the request, refuses it,
 * returns a wrong echo id or none, never responds, closes the connection, or sends data that is not
 * HTTP.
 */
final class EchoServer implements AutoCloseable {
  final AtomicInteger connections = new AtomicInteger();
  final AtomicInteger requests = new AtomicInteger();
  private final Channel channel;

  EchoServer(EventLoopGroup group) {
    ChannelInitializer<SocketChannel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel accepted) {
            connections.incrementAndGet();
            accepted
                .pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Handler());
          }
        };
    channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(initializer)
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .syncUninterruptibly()
            .channel();
  }

  int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      requests.incrementAndGet();
      ChannelFuture unused =
          switch (request.uri()) {
            case "/hang" -> null;
            case "/close" -> context.close();
            case "/garbage" ->
                context
                    .pipeline()
                    .firstContext()
                    .writeAndFlush(
                        Unpooled.copiedBuffer("no http\r\n\r\n", StandardCharsets.US_ASCII));
            default -> context.writeAndFlush(answer(request));
          };
    }

    private DefaultFullHttpResponse answer(FullHttpRequest request) {
      boolean refused = request.uri().equals("/refuse");
      HttpResponseStatus status =
          refused ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, request.content().copy());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
      if (refused) {
        response.headers().set("foxtaildoor-error", "overloaded");
        response.headers().set("foxtaildoor-outcome", "not-run");
      }
      String echo = request.headers().get(ResponseHandler.ECHO_HEADER);
      if (echo != null && !request.uri().equals("/silent")) {
        response
            .headers()
            .set(ResponseHandler.ECHO_HEADER, request.uri().equals("/cross") ? echo + "x" : echo);
      }
      return response;
    }
  }
}
