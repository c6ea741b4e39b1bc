import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's metadata store: reads, watches and transactions, as PROTOCOL.md says.
 * It is sound: it answers every call. Leases and ranges are left out, since nodes don't use them.
 */
final class Store implements AutoCloseable {
  private record Item(String value, long revision, long created) {}

  private record Event(String key, String value, long revision, long created) {}

  private final ServerSocket server;
  private final Map<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 1;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean down;

  Store() throws IOException {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Threads.start("store", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** From now on, every connection is reset and no call is done, until {@link #up}. */
  void down() throws IOException {
    down = true;
    for (Socket connection : connections) {
      reset(connection);
    }
  }

  /** Ends the time that began with {@link #down}. */
  void up() {
    down = false;
  }

  private static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  /** Writes a key as the operator does; the return is the acknowledgement. */
  synchronized void put(String key, String value) {
    revision++;
    set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  synchronized boolean has(String key) {
    return items.containsKey(key);
  }

  private void set(String key, String value) {
    Item old = items.get(key);
    Item item = new Item(value, revision, old == null ? revision : old.created());
    items.put(key, item);
    events.add(new Event(key, value, revision, item.created()));
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      connections.add(socket);
      if (down) {
        reset(socket);
      }
      Threads.start("store connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        String body = new String(Http.readBody(head, in), StandardCharsets.UTF_8);
        if (down) {
          reset(socket);
          return;
        }
        String[] answer = answer(head, body);
        byte[] content = answer[1].getBytes(StandardCharsets.UTF_8);
        String start =
            "HTTP/1.1 "
                + answer[0]
                + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + content.length
                + "\r\n\r\n";
        byte[] message = new byte[start.length() + content.length];
        System.arraycopy(Http.bytes(start), 0, message, 0, start.length());
        System.arraycopy(content, 0, message, start.length(), content.length);
        socket.getOutputStream().write(message);
      }
    } finally {
      connections.remove(socket);
    }
  }

  private String[] answer(Http.Head head, String body) {
    String[] target = head.target().split("\\?", 2);
    Map<String, String> query = new HashMap<>();
    for (String pair : (target.length > 1 ? target[1] : "").split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(
          parts[0],
          parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
    }
    switch (target[0]) {
      case "/kv-key":
        return read(query.get("key"));
      case "/kv-watch":
        return watch(
            query.get("prefix"),
            Long.parseLong(query.get("after")),
            Long.parseLong(query.get("wait_ms")));
      case "/kv-txn":
        return transact(body);
      default:
        return new String[] {"404", "{}"};
    }
  }

  private synchronized String[] read(String key) {
    Item item = items.get(key);
    return item == null
        ? new String[] {"404", "{\"at_rev\":" + revision + "}"}
        : new String[] {
          "200",
          "{" + json(key, item.value(), item.revision(), item.created())
              + ",\"at_rev\":" + revision + "}"
        };
  }

  private static String json(String key, String value, long changed, long created) {
    return "\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + changed
        + ",\"created_rev\":" + created + ",\"lease_id\":0";
  }

  private synchronized String[] watch(String prefix, long after, long waitMillis) {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    try {
      while (true) {
        StringBuilder found = new StringBuilder();
        for (Event event : events) {
          if (event.revision() > after && event.key().startsWith(prefix)) {
            found
                .append(found.length() == 0 ? "{" : ",{")
                .append(json(event.key(), event.value(), event.revision(), event.created()))
                .append("}");
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (found.length() > 0 || left <= 0) {
          return new String[] {
            "200", "{\"events\":[" + found + "],\"at_rev\":" + revision + "}"
          };
        }
        wait(left);
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static final Pattern ROW =
      Pattern.compile("\"key\":\"([^\"]*)\",\"(revision|value)\":\"?([^\",}]*)");

  private synchronized String[] transact(String body) {
    int writes = body.indexOf("\"set_keys\"");
    Matcher conditions = ROW.matcher(body.substring(0, writes));
    StringBuilder present = new StringBuilder();
    boolean holds = true;
    while (conditions.find()) {
      String key = conditions.group(1);
      Item item = items.get(key);
      long actual = item == null ? 0 : item.revision();
      holds &= actual == Long.parseLong(conditions.group(3));
      present
          .append(present.length() == 0 ? "{" : ",{")
          .append(item == null
              ? "\"key\":\"" + key + "\",\"revision\":0"
              : json(key, item.value(), item.revision(), item.created()))
          .append("}");
    }
    if (!holds) {
      return new String[] {"412", "{\"items\":[" + present + "]}"};
    }
    revision++;
    Matcher rows = ROW.matcher(body.substring(writes));
    while (rows.find()) {
      set(rows.group(1), rows.group(3));
    }
    notifyAll();
    return new String[] {"200", "{\"revision\":" + revision + "}"};
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
