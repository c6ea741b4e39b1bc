package io.foxtaildoor.standins.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Handles one connection of the stand-in, with at most one request at a time. */
final class UpstreamHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ECHO_ID = "x-echo-id";
  private static final String REQUEST_ID = "foxtaildoor-request-id";
  private static final String DEADLINE_MILLIS = "foxtaildoor-deadline-ms";
  private static final String MALFORMED_ANSWER = "HTTP/1.1 2x0 ?\r\nContent-Length: many\r\n\r\n";

  private final SlotServer slotServer;
  private final Runnable drainAction;
  private Job currentJob;
  private FullHttpRequest currentRequest;

  UpstreamHandler(SlotServer slotServer, Runnable drainAction) {
    this.slotServer = slotServer;
    this.drainAction = drainAction;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    switch (uri.path()) {
      case "/health" -> {
        ObjectNode health = JsonNodeFactory.instance.objectNode();
        writeJson(
            ctx,
            request,
            slotServer.healthStatus(),
            health.put("draining", slotServer.isDraining()));
      }
      case "/load" -> writeJson(ctx, request, 200, slotServer.load());
      case "/standin/executions" -> {
        List<String> ids = uri.parameters().getOrDefault("id", List.of());
        writeJson(
            ctx,
            request,
            200,
            ids.isEmpty()
                ? slotServer.executions().totals()
                : slotServer.executions().countsOf(ids.get(0)));
      }
      case "/standin/control" -> applyControl(ctx, request);
      case "/standin/drain" -> {
        drainAction.run();
        writeJson(ctx, request, 200, slotServer.load());
      }
      default -> serve(ctx, request);
    }
  }

  private void applyControl(ChannelHandlerContext ctx, FullHttpRequest request) {
    try {
      Behaviour behaviour =
          MAPPER.readValue(request.content().toString(StandardCharsets.UTF_8), Behaviour.class);
      slotServer.setBehaviour(behaviour == null ? Behaviour.NORMAL : behaviour);

      writeJson(ctx, request, 200, MAPPER.valueToTree(slotServer.behaviour()));
    } catch (JsonProcessingException e) {
      writeJson(ctx, request, 400, error(e.getOriginalMessage()));
    }
  }

  private void serve(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (currentJob != null) {
      // HTTP pipelining is not supported: answers could be sent in another order than the requests.
      ctx.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
      return;
    }
    Behaviour behaviour = slotServer.drawBehaviour();
    currentRequest = request.retain();
    currentJob =
        new Job(
            executionId(request),
            behaviour,
            deadlineNanos(request),
            () -> answer(ctx, behaviour),
            () -> reject(ctx, 504, "the deadline passed"));
    if (!slotServer.offer(currentJob)) {
      reject(ctx, 503, "all slots are in use");
    }
  }

  private void reject(ChannelHandlerContext ctx, int status, String message) {
    writeJson(ctx, currentRequest, status, error(message));
    clearCurrentRequest();
  }

  private void clearCurrentRequest() {
    currentJob = null;
    currentRequest.release();
    currentRequest = null;
  }

  private static String executionId(FullHttpRequest request) {
    String echo = request.headers().get(ECHO_ID);
    return echo != null ? echo : request.headers().get(REQUEST_ID, "");
  }

  private static long deadlineNanos(FullHttpRequest request) {
    int millis = request.headers().getInt(DEADLINE_MILLIS, Integer.MAX_VALUE);
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void answer(ChannelHandlerContext ctx, Behaviour behaviour) {

    if (behaviour.malformed()) {
      ByteBuf bytes = Unpooled.copiedBuffer(MALFORMED_ANSWER, StandardCharsets.US_ASCII);
      ctx.pipeline()
          .context(HttpServerCodec.class)
          .writeAndFlush(bytes)
          .addListener(ChannelFutureListener.CLOSE);
    } else if (behaviour.closeMidAnswer()) {
      closeMidAnswer(ctx, echo(currentRequest));
    } else {
      writeJson(ctx, currentRequest, 200, echo(currentRequest));
    }
    clearCurrentRequest();
  }

  private static ObjectNode echo(FullHttpRequest request) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("requestId", request.headers().get(REQUEST_ID, ""))
        .put("echoId", request.headers().get(ECHO_ID, ""))
        .put("method", request.method().name())
        .put("path", request.uri())
        .put("body", request.content().toString(StandardCharsets.UTF_8));
  }

  private static ObjectNode error(String message) {
    return JsonNodeFactory.instance.objectNode().put("error", message);
  }

  private static void closeMidAnswer(ChannelHandlerContext ctx, ObjectNode document) {
    byte[] content = document.toString().getBytes(StandardCharsets.UTF_8);
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    ctx.write(head).addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    ctx.writeAndFlush(
            new DefaultHttpContent(Unpooled.wrappedBuffer(content, 0, content.length / 2)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private static void writeJson(
      ChannelHandlerContext ctx, FullHttpRequest request, int status, ObjectNode document) {
    byte[] content = document.toString().getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    String echo = request.headers().get(ECHO_ID);
    if (echo != null) {
      response.headers().set(ECHO_ID, echo);
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ctx.writeAndFlush(response)
        .addListener(
            keepAlive
                ? ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE
                : ChannelFutureListener.CLOSE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (currentJob != null) {
      slotServer.cancel(currentJob);
      clearCurrentRequest();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }
}
