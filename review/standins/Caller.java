import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client to the outbound address of its machine. */
final class Caller implements AutoCloseable {
  final Socket socket;
  final BufferedInputStream in;

  Caller(Node node) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), node.outbound);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(10_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** A complete answer. */
  record Answer(Http.Head head, String body) {
    int status() {
      return head.status();
    }

    boolean isSigned() {
      return !head.header("X-Foxtaildoor-Server-Signature").isEmpty();
    }
  }

  /** Sends a GET request; the answer is read by {@link #answer}. */
  void get(String host, String path, String id, int deadlineMillis) throws IOException {
    socket
        .getOutputStream()
        .write(
            Http.bytes(
                "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Foxtaildoor-Request-Id: "
                    + id + "\r\nX-Foxtaildoor-Deadline-Ms: " + deadlineMillis + "\r\n\r\n"));
  }

  /** Sends a POST request with a body. */
  void post(String host, String path, String id, int deadlineMillis, String body)
      throws IOException {
    socket
        .getOutputStream()
        .write(
            Http.bytes(
                "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Foxtaildoor-Request-Id: "
                    + id + "\r\nX-Foxtaildoor-Deadline-Ms: " + deadlineMillis
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
  }

  /** Reads an answer; throws when the connection ends before it is complete. */
  Answer answer() throws IOException {
    Http.Head head = Http.readHead(in);
    if (head == null) {
      throw new IOException("the connection was closed without an answer");
    }
    return new Answer(head, new String(Http.readBody(head, in), StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
