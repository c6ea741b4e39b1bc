import java.util.ArrayList;
import java.util.List;

/**
 * The open connections of the nodes to the store go silent, new ones work. A version that moves a
 * route is acknowledged shortly after. Requests sent once the nodes are in touch again must be
 * handled as the new version says.
 */
final class SilentStoreConnections {
  private static final long STABLE = 3_000;
  private static final long CONFIG_SYNC = 2_000;
  private static final String[] SERVICES = {"bookings", "inventory"};

  private SilentStoreConnections() {}

  private static Configs.Route route(String service) {
    return new Configs.Route(
        "route-1", "hire.example", "/lookup/", service, "idempotent", "1200ms", "400ms", 2, 0);
  }

  private static Configs.Route idle() {
    return new Configs.Route(
        "route-2", "hire.example", "/idle/", "bookings", "idempotent", "1200ms", "400ms", 2, 0);
  }

  public static void main(String[] args) {
    Rig.main(SilentStoreConnections::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Record record = rig.record;
    rig.store.put("op/config", Configs.document(1, SERVICES, route("bookings")));
    List<Proxy> proxies = new ArrayList<>();
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Proxy proxy = new Proxy(rig.store.port());
      rig.parts.add(proxy);
      proxies.add(proxy);
      String service = SERVICES[i % 2];
      Node node = rig.node("node-" + i, "ke-central-" + "ab".charAt(i / 2), service, proxy.port());
      Instance instance = new Instance(record, "i-" + i, service, node.app);
      instance.startHeartbeats(node);
      rig.parts.add(instance);
      instances.add(instance);
    }
    rig.awaitReady();
    Threads.sleep(8_000);

    // An earlier version, in force everywhere before the disruption.
    rig.store.put("op/config", Configs.document(4, SERVICES, route("bookings"), idle()));
    record.line("the store acknowledged r4, which adds a route that nobody uses");
    Threads.sleep(500);
    if (rig.trouble) {
      for (Proxy proxy : proxies) {
        proxy.silence();
      }
      record.line("the open connections to the store went silent; new ones work");
    }
    long silentAt = record.now();
    Threads.sleep(300);
    rig.store.put("op/config", Configs.document(7, SERVICES, route("inventory"), idle()));
    long acknowledgedAt = record.now();
    record.line("the store acknowledged r7, which moves route-1 from bookings to inventory");

    int judged = 0;
    int stale = 0;
    int number = 0;
    while (record.now() < silentAt + 9_000) {
      for (Node node : rig.nodes) {
        String id = "q" + ++number;
        long sentAt = record.now();
        boolean due = sentAt > silentAt + STABLE && sentAt > acknowledgedAt + CONFIG_SYNC;
        try (Caller caller = new Caller(node)) {
          caller.get("hire.example", "/lookup/1", id, 2_500);
          Caller.Answer answer = caller.answer();
          boolean old = answer.body().startsWith("answer of bookings");
          record.line(
              "%s sent to %s at %d: %d %s%s",
              id, node.name, sentAt, answer.status(), answer.body(),
              due && old ? " <- older version, later than the bound" : "");
          if (due) {
            judged++;
            stale += old ? 1 : 0;
          }
        }
      }
      Threads.sleep(100);
    }
    record.line(
        "%d requests were sent later than stable and config_sync; %d were run by the old service",
        judged, stale);
    return stale == 0;
  }
}
