import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The only node of a zone gets SIGTERM. Its clients go on using it, since fewer than half of the
 * zone's nodes are in. Each request that it reads and passes on must be answered, unless an excuse
 * of the rule applies.
 */
final class StopCutsRequests {
  private static final String[] SERVICES = {"bookings", "inventory"};
  private static final long WORK_MILLIS = 2_420;
  private static final int CLIENTS = 12;

  private StopCutsRequests() {}

  /** An instance whose audits take long, but less than the route's timeout. */
  private static final class Working extends Instance {
    Working(Record record, String id, String service, int port) throws IOException {
      super(record, id, service, port);
    }

    @Override
    boolean run(Socket socket, BufferedInputStream in, Http.Head head) throws IOException {
      String request = head.header("X-Foxtaildoor-Request-Id");
      record.line("instance %s begins to work on %s", id, request);
      long end = record.now() + (head.target().endsWith("/short") ? 5 : WORK_MILLIS);
      while (record.now() < end) {
        Threads.sleep(1);
        if (in.available() == 0 && isClosed(socket, in)) {
          record.line("instance %s drops %s, its connection was closed", id, request);
          return false;
        }
      }
      send(socket, "200 OK", head, "audit by " + id, signature(head));
      record.line("instance %s answered %s", id, request);
      return true;
    }

    private static boolean isClosed(Socket socket, BufferedInputStream in) throws IOException {
      socket.setSoTimeout(20);
      try {
        in.mark(1);
        int b = in.read();
        in.reset();
        return b < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } finally {
        socket.setSoTimeout(0);
      }
    }
  }

  public static void main(String[] args) {
    Rig.main(StopCutsRequests::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Record record = rig.record;
    rig.store.put(
        "op/config",
        Configs.document(
            1,
            SERVICES,
            new Configs.Route(
                "route-1", "hire.example", "/audit/", "inventory", "idempotent", "2500ms",
                "1500ms", 2, 2)));
    Node stopping = rig.node("node-0", "ke-central-a", "bookings", rig.store.port());
    Instance own = new Instance(record, "i-0", "bookings", stopping.app);
    own.startHeartbeats(stopping);
    rig.parts.add(own);
    for (int i = 1; i < 4; i++) {
      Node node = rig.node("node-" + i, "ke-central-b", "inventory", rig.store.port());
      Instance instance = new Working(record, "i-" + i, "inventory", node.app);
      instance.startHeartbeats(node);
      rig.parts.add(instance);
    }
    rig.awaitReady();
    Threads.sleep(5_000);

    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Caller caller = new Caller(stopping);
      callers.add(caller);
      rig.parts.add(caller);
      caller.get("hire.example", "/audit/short", "first-" + i, 5_000);
      caller.answer();
    }
    long stopAt = record.now();
    if (rig.trouble) {
      stopping.signal("TERM");
      stopAt = record.now();
      record.line("node-0 got SIGTERM");
    }
    AtomicInteger lost = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Caller caller = callers.get(i);
      String id = "audit-" + i;
      long sendAt = stopAt + 3_250 + 20L * i;
      long start = stopAt;
      threads.add(
          Threads.start(
              "client",
              () -> {
                Threads.sleep(sendAt - record.now());
                long sentAt = record.now();
                try {
                  caller.get("hire.example", "/audit/long", id, 5_000);
                  Caller.Answer answer = caller.answer();
                  answered.incrementAndGet();
                  record.line("%s sent %d ms after SIGTERM: status %d after %d ms", id,
                      sentAt - start, answer.status(), record.now() - sentAt);
                } catch (IOException e) {
                  long after = record.now() - sentAt;
                  boolean counts = after > 200;
                  if (counts) {
                    lost.incrementAndGet();
                  }
                  record.line("%s sent %d ms after SIGTERM: %s after %d ms%s", id,
                      sentAt - start, e.getMessage(), after,
                      counts ? " <- passed on and never answered" : "");
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join(20_000);
    }
    record.line("%d answered, %d passed on and never answered", answered.get(), lost.get());
    return lost.get() == 0;
  }
}
