import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All nodes are killed and come back. One heartbeat of another writer, which names a service that no
 * configuration has, reaches each node. Later than the recovery bound the requests must be served.
 */
final class StrayHeartbeatAfterRestart {
  private static final long RECOVERY_MILLIS = 15_000;
  private static final String[] SERVICES = {"bookings", "inventory"};

  private StrayHeartbeatAfterRestart() {}

  public static void main(String[] args) {
    Rig.main(StrayHeartbeatAfterRestart::run);
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
                "500ms", 2, 1),
            new Configs.Route(
                "route-2", "hire.example", "/audit/", "inventory", "non_idempotent", "1500ms",
                "500ms", 2, 1)));
    for (int i = 0; i < 4; i++) {
      String service = SERVICES[i % 2];
      Node node =
          rig.node("node-" + i, "ke-central-" + "ab".charAt(i / 2), service, rig.store.port());
      Instance instance = new Instance(record, "i-" + i, service, node.app);
      instance.startHeartbeats(node);
      rig.parts.add(instance);
    }
    rig.awaitReady();
    Threads.sleep(4_000);
    double before = servedShare(rig, 4_000);
    record.line("%.2f of the requests were served before", before);
    if (before < 0.25) {
      throw new Rig.CannotRun("less than a quarter was served before the disruption");
    }

    if (rig.trouble) {
      record.line("all nodes are killed");
      for (Node node : rig.nodes) {
        node.kill();
      }
      Threads.sleep(1_000);
      for (Node node : rig.nodes) {
        node.start();
      }
    }
    rig.awaitReady();
    long backAt = record.now();
    Threads.sleep(3_000);
    if (rig.trouble) {
      for (Node node : rig.nodes) {
        record.line("heartbeat of another writer at %s: answer %d", node.name,
            strayHeartbeat(node));
      }
    }
    Threads.sleep(backAt + RECOVERY_MILLIS - record.now());
    double after = servedShare(rig, 8_000);
    record.line(
        "%.2f of the requests that were sent later than %d ms after the nodes were back were"
            + " served",
        after, RECOVERY_MILLIS);
    return after >= 0.25;
  }

  private static double servedShare(Rig rig, long millis) throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    AtomicInteger sent = new AtomicInteger();
    AtomicBoolean ends = new AtomicBoolean();
    Thread[] clients = new Thread[rig.nodes.size()];
    for (int i = 0; i < clients.length; i++) {
      Node node = rig.nodes.get(i);
      clients[i] =
          Threads.start(
              "client",
              () -> {
                while (!ends.get()) {
                  int number = sent.incrementAndGet();
                  String id = "h" + rig.record.now() + "-" + number;
                  try (Caller caller = new Caller(node)) {
                    String path = number % 2 == 0 ? "/hire/1" : "/audit/1";
                    caller.post("hire.example", path, id, 3_000, "a deposit");
                    int status = caller.answer().status();
                    served.addAndGet(status == 200 ? 1 : 0);
                    rig.record.line("%s through %s: %d", id, node.name, status);
                  } catch (IOException e) {
                    rig.record.line("%s through %s: %s", id, node.name, e.getMessage());
                  }
                  Threads.sleep(50);
                }
              });
    }
    Threads.sleep(millis);
    ends.set(true);
    for (Thread client : clients) {
      client.join(10_000);
    }
    return (double) served.get() / sent.get();
  }

  private static int strayHeartbeat(Node node) throws IOException {
    String body =
        String.format(
            "{\"service\":\"billing\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\","
                + "\"version\":\"v1\",\"capacity\":9,\"state\":\"ready\",\"warmup_left\":\"0ms\","
                + "\"sequence\":1,\"born\":%d}",
            node.app, System.currentTimeMillis());
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.control)) {
      socket.setSoTimeout(2_000);
      socket
          .getOutputStream()
          .write(
              Http.bytes(
                  "PUT /instances/i-stray HTTP/1.1\r\nHost: node\r\n"
                      + "Content-Type: application/json\r\nContent-Length: "
                      + body.length() + "\r\n\r\n" + body));
      return Http.readHead(socket.getInputStream()).status();
    }
  }
}
