import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A TCP proxy on a loopback address. It can make the connections that are open at a moment silent:
 * they stay open and carry nothing more, while new connections work.
 */
final class Proxy implements AutoCloseable {
  private final ServerSocket server;
  private final int target;
  private volatile long silentUntilConnection;
  private long connections;

  Proxy(int target) throws IOException {
    this.target = target;
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Threads.start("proxy", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Makes all open connections silent for good; returns how many were made so far. */
  synchronized long silence() {
    silentUntilConnection = connections;
    return connections;
  }

  private void accept() throws IOException {
    while (true) {
      Socket near = server.accept();
      Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      long number;
      synchronized (this) {
        number = ++connections;
      }
      Threads.start("proxy out", () -> copy(near, far, number));
      Threads.start("proxy back", () -> copy(far, near, number));
    }
  }

  private void copy(Socket from, Socket to, long number) throws IOException {
    byte[] buffer = new byte[16 * 1024];
    int read = 0;
    try {
      while ((read = from.getInputStream().read(buffer)) >= 0) {
        if (number > silentUntilConnection) {
          to.getOutputStream().write(buffer, 0, read);
        }
      }
    } finally {
      if (number > silentUntilConnection) {
        from.close();
        to.close();
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
