import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A heartbeat of another writer arrives, which lacks a field and so names no instance to use. Then
 * an instance says that it leaves, and its node acknowledges that. No request may reach the
 * instance later than the bound after the acknowledgement.
 */
final class StrayHeartbeatBeforeDrain {
  private static final long DRAIN_MILLIS = 2_000;
  private static final String[] SERVICES = {"bookings"};

  private StrayHeartbeatBeforeDrain() {}

  /** An instance that notes when requests reach it. */
  private static final class Noting extends Instance {
    final ConcurrentLinkedQueue<Long> arrivals = new ConcurrentLinkedQueue<>();

    Noting(Record record, String id, String service, int port) throws IOException {
      super(record, id, service, port);
    }

    @Override
    boolean run(Socket socket, java.io.BufferedInputStream in, Http.Head head)
        throws IOException {
      arrivals.add(record.now());
      return super.run(socket, in, head);
    }
  }

  public static void main(String[] args) {
    Rig.main(StrayHeartbeatBeforeDrain::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Record record = rig.record;
    rig.store.put(
        "op/config",
        Configs.document(
            1,
            SERVICES,
            new Configs.Route(
                "route-1", "hire.example", "/hire/", "bookings", "non_idempotent", "1500ms",
                "500ms", 2, 1)));
    Node leavingNode = rig.node("node-0", "ke-central-a", "bookings", rig.store.port());
    Node stayingNode = rig.node("node-1", "ke-central-b", "bookings", rig.store.port());
    Noting leaving = new Noting(record, "i-0", "bookings", leavingNode.app);
    Instance staying = new Instance(record, "i-1", "bookings", stayingNode.app);
    rig.parts.add(leaving);
    rig.parts.add(staying);
    leaving.startHeartbeats(leavingNode);
    staying.startHeartbeats(stayingNode);
    rig.awaitReady();
    Threads.sleep(6_000);

    AtomicInteger number = new AtomicInteger();
    long[] end = {Long.MAX_VALUE};
    for (Node node : rig.nodes) {
      Threads.start(
          "client",
          () -> {
            while (record.now() < end[0]) {
              String id = "h" + number.incrementAndGet();
              try (Caller caller = new Caller(node)) {
                caller.post("hire.example", "/hire/1", id, 3_000, "a deposit");
                Caller.Answer answer = caller.answer();
                record.line("%s through %s: %d %s", id, node.name, answer.status(),
                    answer.status() == 200 ? answer.body() : "");
              } catch (IOException e) {
                record.line("%s through %s: %s", id, node.name, e.getMessage());
              }
              Threads.sleep(30);
            }
          });
    }
    Threads.sleep(1_000);
    if (rig.trouble) {
      record.line("heartbeat of another writer for i-0, without the field zone: answer %d",
          strayHeartbeat(leavingNode, "i-0"));
    }
    Threads.sleep(700);
    leaving.drain();
    boolean acknowledged = false;
    for (int i = 0; i < 5 && !acknowledged; i++) {
      acknowledged = leaving.heartbeat(leavingNode);
    }
    if (!acknowledged) {
      throw new Rig.CannotRun("no acknowledgement of the leaving instance");
    }
    long acknowledgedAt = record.now();
    record.line("node-0 acknowledged that i-0 is draining");
    Threads.sleep(7_000);
    end[0] = 0;
    Threads.sleep(500);
    long late =
        leaving.arrivals.stream().filter(at -> at > acknowledgedAt + DRAIN_MILLIS).count();
    long last = leaving.arrivals.stream().mapToLong(Long::longValue).max().orElse(0);
    record.line(
        "%d requests reached i-0 later than %d ms after the acknowledgement, the last one %d ms"
            + " after it",
        late, DRAIN_MILLIS, last - acknowledgedAt);
    return late == 0;
  }

  /** Sends a heartbeat in which the zone is missing; its writer's own start is now. */
  private static int strayHeartbeat(Node node, String id) throws IOException {
    String body =
        String.format(
            "{\"service\":\"bookings\",\"address\":\"127.0.0.1:%d\",\"version\":\"v1\","
                + "\"capacity\":9,\"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":1,"
                + "\"born\":%d}",
            node.app, System.currentTimeMillis());
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.control)) {
      socket.setSoTimeout(2_000);
      socket
          .getOutputStream()
          .write(
              Http.bytes(
                  "PUT /instances/" + id + " HTTP/1.1\r\nHost: node\r\n"
                      + "Content-Type: application/json\r\nContent-Length: "
                      + body.length() + "\r\n\r\n" + body));
      return Http.readHead(socket.getInputStream()).status();
    }
  }
}
