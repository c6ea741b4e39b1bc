package io.foxtaildoor.standins.managed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.foxtaildoor.standins.StandInProcess;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.kohsuke.args4j.Option;

/**
 * Stand-in for the metadata store of the managed platform: reads, watches and conditional
 * transactions, with all state in memory. It has no leases, because the product does not use them.
 */
public final class ManagedStore extends HttpStandIn {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** How the store responds to calls. */
  public enum Mode {
    /** Calls are served normally. */
    SOUND,
    /** Calls have no effect and get no answer. */
    SILENT,
    /** Calls have no effect and are answered with status 503. */
    BUSY,
    /** Calls have no effect and their connection is closed. */
    RESET
  }

  private final StoreItems items = new StoreItems();
  private final List<Watch> watches = new ArrayList<>();
  private final AtomicInteger calls = new AtomicInteger();
  private volatile Mode mode = Mode.SOUND;
  private final AtomicInteger answersToLose = new AtomicInteger();

  private record Watch(Channel channel, String prefix, long afterRevision) {}

  /** Starts a store that listens on an address. */
  public static ManagedStore start(InetSocketAddress address) {
    ManagedStore store = new ManagedStore();
    store.bind(address);
    return store;
  }

  /** Sets how the store responds to later calls. */
  public void setMode(Mode newMode) {
    mode = newMode;
  }

  /**
   * Makes the next {@code count} transactions take effect, but closes their connection unanswered.
   */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Returns the number of calls since the start, in every mode. */
  public int calls() {
    return calls.get();
  }

  /** Writes a key unconditionally, as an operator of the platform does. */
  public void put(String key, byte[] value) {
    ObjectNode write =
        JsonNodeFactory.instance
            .objectNode()
            .put("key", key)
            .put("value", Base64.getEncoder().encodeToString(value));
    runOnEventLoop(
        () -> {
          change(JsonNodeFactory.instance.arrayNode().add(write), emptyArray());
          return null;
        });
  }

  /** Returns the value of a key; empty when the key is absent. */
  public Optional<byte[]> get(String key) {
    return Optional.ofNullable(runOnEventLoop(() -> items.get(key)))
        .map(item -> Base64.getDecoder().decode(item.path("value").asText()));
  }

  /**
   * Drops the history. Watches from an earlier revision are answered with status 410 from now on.
   */
  public void compact() {
    runOnEventLoop(
        () -> {
          items.compact();
          return null;
        });
  }

  /** Closes the connections of all pending watches. */
  public void closeWatches() {
    runOnEventLoop(
        () -> {
          watches.forEach(watch -> watch.channel().close());
          watches.clear();
          return null;
        });
  }

  private <T> T runOnEventLoop(Supplier<T> action) {
    return CompletableFuture.supplyAsync(action, eventLoop()).join();
  }

  private static ArrayNode emptyArray() {
    return JsonNodeFactory.instance.arrayNode();
  }

  @Override
  void serve(Channel channel, FullHttpRequest request) {
    calls.incrementAndGet();
    switch (mode) {
      case SOUND -> dispatch(channel, request);
      case SILENT -> {}
      case BUSY -> answer(channel, response(503, new byte[0]));
      case RESET -> channel.close();
    }
  }

  private void dispatch(Channel channel, FullHttpRequest request) {
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    boolean isRead = request.method().equals(HttpMethod.GET);
    switch (uri.path()) {
      case "/kv-key" -> readKey(channel, parameter(uri, "key"));
      case "/kv-range" -> {
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        answer.set("items", items.range(parameter(uri, "prefix")));
        answer.put("has_more", false).put("at_rev", items.revision());
        answer(channel, 200, answer);
      }
      case "/kv-watch" -> watch(channel, uri);
      default -> {
        if (uri.path().equals("/kv-txn") && !isRead) {
          change(channel, request);
        } else {
          answer(channel, 404, JsonNodeFactory.instance.objectNode());
        }
      }
    }
  }

  private static String parameter(QueryStringDecoder uri, String name) {
    return uri.parameters().getOrDefault(name, List.of("")).get(0);
  }

  private void readKey(Channel channel, String key) {
    ObjectNode item = items.get(key);
    ObjectNode answer = item == null ? JsonNodeFactory.instance.objectNode() : item;
    answer(channel, item == null ? 404 : 200, answer.put("at_rev", items.revision()));
  }

  private void watch(Channel channel, QueryStringDecoder uri) {
    long after = Long.parseLong(parameter(uri, "after"));
    Watch watch = new Watch(channel, parameter(uri, "prefix"), after);
    if (items.isCompacted(after)) {
      answer(channel, 410, JsonNodeFactory.instance.objectNode());
      return;
    }
    watches.add(watch);
    answerChangedWatches();
    long waitMillis = Long.parseLong(parameter(uri, "wait_ms"));
    var unused =
        channel.eventLoop().schedule(() -> answerWatch(watch), waitMillis, TimeUnit.MILLISECONDS);
  }

  private void answerChangedWatches() {
    for (Watch watch : List.copyOf(watches)) {
      if (!items.eventsAfter(watch.prefix(), watch.afterRevision()).isEmpty()) {
        answerWatch(watch);
      }
    }
  }

  private void answerWatch(Watch watch) {
    if (watches.remove(watch)) {
      ObjectNode answer = JsonNodeFactory.instance.objectNode();
      answer.set("events", items.eventsAfter(watch.prefix(), watch.afterRevision()));
      answer(watch.channel(), 200, answer.put("at_rev", items.revision()));
    }
  }

  private void change(Channel channel, FullHttpRequest request) {
    JsonNode document;
    try {
      document = JSON.readTree(request.content().toString(StandardCharsets.UTF_8));
    } catch (IOException e) {
      answer(channel, 400, JsonNodeFactory.instance.objectNode());
      return;
    }
    ArrayNode conflicts = items.checkConditions(document.path("expect"));
    if (!conflicts.isEmpty()) {
      ObjectNode answer = JsonNodeFactory.instance.objectNode();
      answer.set("items", conflicts);
      answer(channel, 412, answer);
      return;
    }
    change(document.path("set_keys"), document.path("remove"));
    if (answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      channel.close();
      return;
    }
    answer(channel, 200, JsonNodeFactory.instance.objectNode().put("revision", items.revision()));
  }

  private void change(JsonNode writes, JsonNode removals) {
    items.apply(writes, removals);
    answerChangedWatches();
  }

  private static void answer(Channel channel, int status, ObjectNode document) {
    answer(channel, response(status, document.toString().getBytes(StandardCharsets.UTF_8)));
  }

  /** Command-line options of the store. */
  private static final class Options {
    @Option(name = "--port", usage = "port to listen on; 0 chooses a free one")
    private int port;

    @Option(name = "--port-file", usage = "file to which the port is written")
    private Path portFile;

    @Option(
        name = "--configuration",
        usage = "file whose content is stored under the key op/config at the start")
    private Path configuration;
  }

  /** Starts a store, which runs until SIGTERM. */
  public static void main(String[] args) throws IOException {
    Options options = StandInProcess.parse(new Options(), args);
    ManagedStore store =
        start(new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port));
    if (options.configuration != null) {
      store.put("op/config", Files.readAllBytes(options.configuration));
    }
    StandInProcess.stopOnSignal(store::close);
    StandInProcess.writePortFile(options.portFile, Integer.toString(store.address().getPort()));
  }
}
