import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What every driver needs: the record, a store, nodes, and the end of all of them. */
final class Rig implements AutoCloseable {
  final Path root = Path.of(System.getProperty("review.root"));
  final Record record;
  final Path work;
  final Store store;
  final List<AutoCloseable> parts = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();

  /** Whether the disruption takes place. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Rig() throws IOException {
    record = new Record(Path.of(System.getProperty("review.record")));
    work = Files.createTempDirectory("review");
    store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
    record.line("start, TROUBLE=%d", trouble ? 1 : 0);
  }

  /** Starts a node beside an instance whose address is 127.0.0.1 and a free port. */
  Node node(String name, String zone, String service, int storePort) throws IOException {
    Node node = new Node(root, work, name, zone, service, Node.freePort(), storePort);
    nodes.add(node);
    node.start();
    return node;
  }

  /** Waits until all nodes say that they are ready. */
  void awaitReady() {
    for (int i = 0; i < 200; i++) {
      if (nodes.stream().allMatch(Node::isReady)) {
        record.line("all nodes are ready");
        return;
      }
      Threads.sleep(100);
    }
    throw new CannotRun("the nodes did not become ready in 20 s");
  }

  /** The case could not run. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
      super(message);
    }
  }

  /** A driver; returns whether the rule held. */
  interface Driver {
    boolean run(Rig rig) throws Exception;
  }

  /** Runs a driver and ends the program with the exit status of the case. */
  static void main(Driver driver) {
    int status = 2;
    try (Rig rig = new Rig()) {
      try {
        boolean held = driver.run(rig);
        for (Node node : rig.nodes) {
          if (Files.exists(rig.work.resolve(node.name + ".log")) && logsWanted()) {
            System.err.println("== " + node.name + "\n" + node.log());
          }
        }
        rig.record.line(held ? "the rule held" : "the rule was BROKEN");
        System.out.println(held ? "held" : "broken");
        status = held ? 0 : 1;
      } catch (Exception e) {
        rig.record.line("could not run: %s", e);
        System.out.println("could not run: " + e);
        for (Node node : rig.nodes) {
          rig.record.line("%s: alive %s, log:%n%s", node.name, node.isAlive(), node.log());
        }
      }
    } catch (Exception e) {
      System.out.println("could not run: " + e);
      status = 2;
    }
    System.exit(status);
  }

  /** Ends the nodes also when the driver itself is stopped from outside. */
  private void killNodes() {
    for (Node node : List.copyOf(nodes)) {
      node.kill();
    }
  }

  private static boolean logsWanted() {
    return System.getenv("REVIEW_DEBUG") != null;
  }

  @Override
  public void close() throws Exception {
    for (Node node : nodes) {
      node.close();
    }
    for (AutoCloseable part : parts) {
      part.close();
    }
    store.close();
    record.close();
    try (Stream<Path> files = Files.walk(work)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
