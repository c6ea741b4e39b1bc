package io.foxtaildoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Answers the HTTP/JSON calls. All connections share one event loop, so the state needs no locks.
 */
@Sharable
@SuppressWarnings("FutureReturnValueIgnored") // A failed write closes the channel.
final class PlatformHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String KV = "/kv/";
  private static final String LEASE = "/lease/";
  private static final String CONTROL = "/control";

  private final PlatformStore store = new PlatformStore();
  private final Faults faults = new Faults();
  private final Map<Channel, Watch> watches = new HashMap<>();
  private final ListenerSwitch listenerSwitch;

  /** Closes or reopens the listener when the outage mode changed, then runs a continuation. */
  @FunctionalInterface
  interface ListenerSwitch {
    void apply(Faults.OutageMode previous, Faults.OutageMode current, Runnable continuation);
  }

  private record Watch(String key, long afterRevision, boolean keepAlive) {}

  PlatformHandler(ListenerSwitch listenerSwitch) {
    this.listenerSwitch = listenerSwitch;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    watches.remove(ctx.channel());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    try {
      Call call = new Call(request.method(), query, body(request), ctx.channel(), keepAlive);
      if (call.path().equals(CONTROL)) {
        control(call);
      } else if (faults.outage() != Faults.OutageMode.NONE) {
        faults.count("unanswered");
      } else if (faults.slowMillis() > 0) {
        ctx.executor().schedule(() -> serve(call), faults.slowMillis(), TimeUnit.MILLISECONDS);
      } else {
        serve(call);
      }
    } catch (IOException | IllegalArgumentException e) {
      answer(ctx.channel(), keepAlive, 400, errorJson(String.valueOf(e.getMessage())));
    }
  }

  private static JsonNode body(FullHttpRequest request) throws IOException {
    byte[] bytes = new byte[request.content().readableBytes()];
    request.content().getBytes(request.content().readerIndex(), bytes);
    return bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
  }

  private void control(Call call) {
    if (call.method().equals(HttpMethod.GET)) {
      answer(call, 200, report());
    } else {
      apply(call.body(), () -> answer(call, 200, report()));
    }
  }

  /** Applies a control document, then runs a continuation. */
  void apply(JsonNode document, Runnable continuation) {
    Faults.OutageMode previous = faults.outage();
    faults.update(document);
    if (document.path("expireLeases").asBoolean()) {
      store.expireLeases();
    }
    if (document.path("dropWatches").asBoolean()) {
      List<Channel> channels = new ArrayList<>(watches.keySet());
      channels.forEach(Channel::close);
    }
    listenerSwitch.apply(previous, faults.outage(), continuation);
  }

  ObjectNode report() {
    ObjectNode report = JSON.createObjectNode();
    faults.writeTo(report);
    report.put("pendingWatches", watches.size());
    return report;
  }

  /** Answers all pending watches with their present entries, so that the stand-in can stop. */
  void answerAllWatches() {
    Map<Channel, Watch> pending = new HashMap<>(watches);
    watches.clear();
    pending.forEach(
        (channel, watch) -> answer(channel, false, 200, entryJson(store.get(watch.key()))));
  }

  private void serve(Call call) {
    String kind = call.kind();
    faults.count(kind);
    boolean write = !call.method().equals(HttpMethod.GET);
    if (!faults.admit(write, watches.size(), System.nanoTime())) {
      faults.count("limited");
      answer(call, 429, errorJson("the rate limit is exceeded"));
      return;
    }
    try {
      switch (kind) {
        case "get" -> answer(call, 200, entryJson(store.get(call.key())));
        case "watch" -> watch(call);
        case "put", "delete" -> changeEntry(call);
        case "acquire", "renew", "release" -> changeLease(call);
        default -> answer(call, 404, errorJson("no such resource"));
      }
    } catch (IllegalArgumentException e) {
      answer(call, 400, errorJson(String.valueOf(e.getMessage())));
    }
  }

  private void watch(Call call) {
    long after = call.longParameter("after");
    PlatformStore.Entry present = store.get(call.key());
    long waitMillis = call.longParameter("waitMillis");
    if (present.revision() != after || waitMillis <= 0) {
      answer(call, 200, entryJson(present));
      return;
    }
    Channel channel = call.channel();
    Watch watch = new Watch(call.key(), after, call.keepAlive());
    watches.put(channel, watch);
    Runnable finish = () -> answerWatch(channel, watch);
    channel.eventLoop().schedule(finish, waitMillis, TimeUnit.MILLISECONDS);
  }

  private void answerWatch(Channel channel, Watch watch) {
    if (watches.remove(channel, watch)) {
      answer(channel, watch.keepAlive(), 200, entryJson(store.get(watch.key())));
    }
  }

  private void changeEntry(Call call) {
    long expected = call.longParameter("expected");
    PlatformStore.Change<PlatformStore.Entry> change;
    if (call.method().equals(HttpMethod.PUT)) {
      byte[] value = Base64.getDecoder().decode(call.body().path("value").asText());
      if (value.length > PlatformStore.MAX_VALUE_BYTES) {
        answer(call, 413, errorJson("the value is larger than 1 MB"));
        return;
      }
      change = store.compareAndSet(call.key(), expected, value);
    } else {
      change = store.compareAndDelete(call.key(), expected);
    }
    answerWrite(call, change.applied(), entryJson(change.present()));
    if (change.applied()) {
      answerWatchesOf(call.key());
    }
  }

  private void answerWatchesOf(String key) {
    Map<Channel, Watch> pending = new HashMap<>(watches);
    pending.forEach(
        (channel, watch) -> {
          if (watch.key().equals(key)) {
            answerWatch(channel, watch);
          }
        });
  }

  private void changeLease(Call call) {
    long now = System.nanoTime();
    String key = call.leaseKey();
    String holder = call.body().path("holder").asText();
    long ttlMillis = call.body().path("ttlMillis").asLong();
    long token = call.body().path("token").asLong();
    PlatformStore.Change<PlatformStore.Lease> change =
        switch (call.kind()) {
          case "acquire" -> store.acquire(key, holder, ttlMillis, now);
          case "renew" -> store.renew(key, holder, token, ttlMillis, now);
          default -> store.release(key, holder, token, now);
        };
    answerWrite(call, change.applied(), leaseJson(key, change));
  }

  private static ObjectNode leaseJson(
      String key, PlatformStore.Change<PlatformStore.Lease> change) {
    PlatformStore.Lease lease = change.present();
    ObjectNode node = JSON.createObjectNode().put("key", key);
    String holder = lease == null ? "" : lease.holder();
    long token = lease == null ? 0 : lease.token();
    if (change.applied()) {
      return node.put("holder", holder).put("token", token).put("ttlMillis", lease.ttlMillis());
    }
    return node.put("revision", token).put("value", holder.getBytes(StandardCharsets.UTF_8));
  }

  private void answerWrite(Call call, boolean applied, ObjectNode body) {
    if (applied && faults.takeLostAnswer()) {
      faults.count("lost");
      call.channel().close();
      return;
    }
    answer(call, applied ? 200 : 409, body);
  }

  private static ObjectNode entryJson(PlatformStore.Entry entry) {
    ObjectNode node = JSON.createObjectNode().put("key", entry.key());
    return node.put("revision", entry.revision()).put("value", entry.value());
  }

  private static ObjectNode errorJson(String message) {
    return JSON.createObjectNode().put("error", message);
  }

  private static void answer(Call call, int status, ObjectNode body) {
    answer(call.channel(), call.keepAlive(), status, body);
  }

  private static void answer(Channel channel, boolean keepAlive, int status, ObjectNode body) {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    HttpUtil.setContentLength(response, bytes.length);
    HttpUtil.setKeepAlive(response, keepAlive);
    channel
        .writeAndFlush(response)
        .addListener(
            written -> {
              if (!keepAlive) {
                channel.close();
              }
            });
  }

  /** One HTTP request and the connection to answer on. */
  private record Call(
      HttpMethod method,
      QueryStringDecoder query,
      JsonNode body,
      Channel channel,
      boolean keepAlive) {
    String path() {
      return query.path();
    }

    String kind() {
      if (path().startsWith(LEASE) && method.equals(HttpMethod.POST)) {
        return path().substring(path().lastIndexOf('/') + 1);
      }
      if (!path().startsWith(KV)) {
        return "other";
      }
      if (method.equals(HttpMethod.GET)) {
        return query.parameters().containsKey("after") ? "watch" : "get";
      }
      if (method.equals(HttpMethod.PUT)) {
        return "put";
      }
      return method.equals(HttpMethod.DELETE) ? "delete" : "other";
    }

    String key() {
      return path().substring(KV.length());
    }

    String leaseKey() {
      return path().substring(LEASE.length(), path().lastIndexOf('/'));
    }

    long longParameter(String name) {
      List<String> values = query.parameters().get(name);
      if (values == null) {
        throw new IllegalArgumentException("query parameter " + name + " is missing");
      }
      return Long.parseLong(values.get(0));
    }
  }
}
