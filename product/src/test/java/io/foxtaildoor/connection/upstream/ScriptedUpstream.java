package io.foxtaildoor.connection.upstream;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A minimal HTTP server that runs a script for each accepted connection. */
final class ScriptedUpstream implements AutoCloseable {
  private static final long PAUSE_MILLIS = 100;
  private static final int BACKLOG = 64;
  private static final int DEFAULT_RECEIVE_BUFFER_BYTES = 64 << 10;

  private final ServerSocket server;
  private final Script script;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  final AtomicInteger connectionCount = new AtomicInteger();
  final List<String> requestHeads = new CopyOnWriteArrayList<>();

  /** Reads from and writes to one connection. */
  @FunctionalInterface
  interface Script {
    void run(Connection connection) throws IOException;
  }

  ScriptedUpstream(Script script) throws IOException {
    this(script, DEFAULT_RECEIVE_BUFFER_BYTES);
  }

  /**
   * Creates a server.
   *
   * @param receiveBufferBytes with a small buffer, the peer's writes block soon unless the script
   *     reads
   */
  ScriptedUpstream(Script script, int receiveBufferBytes) throws IOException {
    this.script = script;
    server = new ServerSocket();
    server.setReceiveBufferSize(receiveBufferBytes);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    start(this::acceptAll);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Returns the value of a header in a message head, or an empty string. */
  static String header(String head, String name) {
    return head.lines()
        .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst()
        .orElse("");
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "scripted-upstream");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        int number = connectionCount.incrementAndGet();
        start(() -> serve(socket, number));
      }
    } catch (IOException e) {
      // The test closed the server socket.
      return;
    }
  }

  private void serve(Socket socket, int number) {
    try (socket) {
      script.run(new Connection(socket, number));
    } catch (IOException e) {
      // The peer closed the connection, which ends the script.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** One accepted connection. */
  final class Connection {
    final int number;
    final Socket socket;
    private final DataInputStream in;

    Connection(Socket socket, int number) throws IOException {
      this.socket = socket;
      this.number = number;
      this.in = new DataInputStream(socket.getInputStream());
    }

    /** Reads a request head up to the empty line. */
    String readHead() throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          throw new EOFException();
        }
        head.append((char) next);
      }
      requestHeads.add(head.toString());
      return head.toString();
    }

    byte[] readBody(int bytes) throws IOException {
      byte[] data = new byte[bytes];
      in.readFully(data);
      return data;
    }

    /** Waits for the next byte; true if the peer closed the connection instead of sending one. */
    boolean closedByPeer() throws IOException {
      return in.read() < 0;
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
    }

    /** Waits so that the peer can read what was written before a following reset discards it. */
    void pause() throws IOException {
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }
}
