import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload long bodies. An instance answers a few of the requests before it has read the
 * whole body, with an answer without a length, and resets the connection in the middle of that
 * answer. The client must not get it as a complete answer.
 */
final class CutUnframedAnswer {
  private static final String[] SERVICES = {"bookings", "inventory"};
  private static final int UPLOAD_BYTES = 256 * 1024;
  private static final int PIECE_BYTES = 4 * 1024;
  private static final int ANSWER_BYTES = 1_500;
  private static final int SENT_BYTES = 600;
  private static final int CLIENTS = 8;
  private static final int SPOILED_ONE_IN = 20;
  private static final long SPOILED_MILLIS = 5_000;

  private CutUnframedAnswer() {}

  /** An instance that spoils one in 20 of its answers while the disruption lasts. */
  private static final class Spoiling extends Instance {
    private final AtomicInteger requests = new AtomicInteger();
    volatile boolean spoils;
    final AtomicInteger spoiled = new AtomicInteger();

    Spoiling(Record record, String id, String service, int port) throws IOException {
      super(record, id, service, port);
    }

    @Override
    boolean run(Socket socket, BufferedInputStream in, Http.Head head) throws IOException {
      if (!spoils || requests.incrementAndGet() % SPOILED_ONE_IN != 0) {
        byte[] body = Http.readBody(head, in);
        record.line(
            "instance %s runs %s, %d bytes; answers %d bytes",
            id, head.header("X-Foxtaildoor-Request-Id"), body.length, ANSWER_BYTES);
        send(socket, "200 OK", head, "a".repeat(ANSWER_BYTES), signature(head));
        return true;
      }
      spoiled.incrementAndGet();
      Http.exactly(in, 32 * 1024);
      socket
          .getOutputStream()
          .write(
              Http.bytes(
                  "HTTP/1.1 200 OK\r\nX-Foxtaildoor-Request-Id: "
                      + head.header("X-Foxtaildoor-Request-Id")
                      + "\r\n"
                      + signature(head)
                      + "\r\nConnection: close\r\n\r\n"
                      + "a".repeat(SENT_BYTES)));
      Http.exactly(in, 96 * 1024);
      socket.setSoLinger(true, 0);
      socket.close();
      record.line(
          "instance %s ran %s and reset the connection after %d of %d bytes of its answer",
          id, head.header("X-Foxtaildoor-Request-Id"), SENT_BYTES, ANSWER_BYTES);
      return false;
    }
  }

  public static void main(String[] args) {
    Rig.main(CutUnframedAnswer::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Record record = rig.record;
    rig.store.put(
        "op/config",
        Configs.document(
            1,
            SERVICES,
            new Configs.Route(
                "route-1", "hire.example", "/hire/", "inventory", "non_idempotent", "1500ms",
                "500ms", 1, 1)));
    Node near = rig.node("node-0", "ke-central-a", "bookings", rig.store.port());
    Node far = rig.node("node-1", "ke-central-b", "inventory", rig.store.port());
    Instance first = new Instance(record, "i-0", "bookings", near.app);
    Spoiling second = new Spoiling(record, "i-1", "inventory", far.app);
    rig.parts.add(first);
    rig.parts.add(second);
    first.startHeartbeats(near);
    second.startHeartbeats(far);
    rig.awaitReady();
    Threads.sleep(4_000);

    second.spoils = rig.trouble;
    long end = record.now() + SPOILED_MILLIS;
    Threads.start(
        "end of the disruption",
        () -> {
          Threads.sleep(SPOILED_MILLIS - 200);
          second.spoils = false;
        });
    AtomicInteger numbers = new AtomicInteger();
    AtomicInteger wrong = new AtomicInteger();
    AtomicInteger good = new AtomicInteger();
    Thread[] clients = new Thread[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      clients[i] =
          Threads.start(
              "client",
              () -> {
                while (record.now() < end) {
                  upload(near, record, "u" + numbers.incrementAndGet(), wrong, good);
                  Threads.sleep(40);
                }
              });
    }
    for (Thread client : clients) {
      client.join(20_000);
    }
    record.line(
        "%d uploads, %d whole answers, %d answers cut by the instance, of which %d were given to"
            + " the client as complete successes",
        numbers.get(), good.get(), second.spoiled.get(), wrong.get());
    if (good.get() == 0) {
      throw new Rig.CannotRun("no upload was answered");
    }
    return wrong.get() == 0;
  }

  private static void upload(
      Node node, Record record, String id, AtomicInteger wrong, AtomicInteger good) {
    try (Caller caller = new Caller(node)) {
      OutputStream out = caller.socket.getOutputStream();
      out.write(
          Http.bytes(
              "POST /hire/1 HTTP/1.1\r\nHost: hire.example\r\nX-Foxtaildoor-Request-Id: "
                  + id
                  + "\r\nX-Foxtaildoor-Deadline-Ms: 3000\r\nContent-Length: "
                  + UPLOAD_BYTES
                  + "\r\n\r\n"));
      Thread sender =
          Threads.start(
              "upload",
              () -> {
                byte[] piece = new byte[PIECE_BYTES];
                Arrays.fill(piece, (byte) 'b');
                for (int sent = 0; sent < UPLOAD_BYTES; sent += PIECE_BYTES) {
                  out.write(piece);
                }
              });
      Caller.Answer answer = caller.answer();
      boolean success = answer.status() / 100 == 2;
      if (success && answer.body().length() == ANSWER_BYTES) {
        good.incrementAndGet();
      } else if (success) {
        wrong.incrementAndGet();
      }
      record.line(
          "%s: status %d, signature %s, complete body of %d bytes%s",
          id,
          answer.status(),
          answer.isSigned() ? "there" : "missing",
          answer.body().length(),
          success && answer.body().length() != ANSWER_BYTES
              ? " <- not the instance's whole body"
              : "");
      caller.close();
      sender.join(1_000);
    } catch (IOException | InterruptedException e) {
      record.line("%s: no complete answer (%s)", id, e.getMessage());
    }
  }
}
