import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of an application instance: runs requests, signs its answers and sends heartbeats. */
class Instance implements AutoCloseable {
  final Record record;
  final String id;
  final String service;
  final ServerSocket server;
  private final long born = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean draining;
  private volatile boolean ended;

  Instance(Record record, String id, String service, int port) throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    Threads.start("instance " + id, this::accept);
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      Threads.start("instance connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        String expected = head.header("X-Foxtaildoor-Target-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          Http.readBody(head, in);
          send(socket, "421 Misdirected Request", head, "", "X-Foxtaildoor-Instance-Id: " + id);
        } else if (!run(socket, in, head)) {
          return;
        }
      }
    }
  }

  /**
   * Runs a request and answers it.
   *
   * @return whether the connection goes on
   */
  boolean run(Socket socket, BufferedInputStream in, Http.Head head) throws IOException {
    byte[] body = Http.readBody(head, in);
    record.line(
        "instance %s runs %s of caller %s, %d bytes",
        id,
        head.header("X-Foxtaildoor-Request-Id"),
        head.header("X-Foxtaildoor-Caller-Service"),
        body.length);
    send(socket, "200 OK", head, "answer of " + service + " by " + id, signature(head));
    return true;
  }

  String signature(Http.Head head) {
    return "X-Foxtaildoor-Server-Signature: " + id + "." + head.header("X-Foxtaildoor-Request-Id");
  }

  static void send(Socket socket, String status, Http.Head head, String body, String more)
      throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(
        Http.bytes(
            "HTTP/1.1 "
                + status
                + "\r\nX-Foxtaildoor-Request-Id: "
                + head.header("X-Foxtaildoor-Request-Id")
                + "\r\n"
                + more
                + "\r\nContent-Length: "
                + body.length()
                + "\r\nKeep-Alive: timeout=10\r\n\r\n"
                + body));
  }

  /** Starts heartbeats to the control address of the node on the instance's machine. */
  void startHeartbeats(Node node) {
    Threads.start(
        "heartbeats",
        () -> {
          while (!ended) {
            heartbeat(node);
            Threads.sleep(1_500);
          }
        });
  }

  /** Says from the next heartbeat on that the instance leaves. */
  void drain() {
    draining = true;
  }

  /** Sends a heartbeat; returns whether it was acknowledged. */
  boolean heartbeat(Node node) {
    String body =
        String.format(
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"v1\","
                + "\"capacity\":9,\"state\":\"%s\",\"warmup_left\":\"0ms\",\"sequence\":%d,"
                + "\"born\":%d}",
            service,
            server.getLocalPort(),
            draining ? "draining" : "ready",
            sequence.incrementAndGet(),
            born);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.control)) {
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(
              Http.bytes(
                  "PUT /instances/"
                      + id
                      + " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                      + "Content-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body));
      Http.Head head = Http.readHead(socket.getInputStream());
      return head != null && head.status() / 100 == 2;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    ended = true;
    server.close();
  }
}
