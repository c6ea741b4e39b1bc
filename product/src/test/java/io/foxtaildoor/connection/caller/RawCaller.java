package io.foxtaildoor.connection.caller;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Test caller that sends raw bytes and parses responses strictly. */
final class RawCaller implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;

  RawCaller(InetSocketAddress address) throws IOException {
    socket.connect(address);
    socket.setSoTimeout(FakeLinkClient.TIMEOUT_SECONDS * 1_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  RawCaller send(String text) throws IOException {
    return send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  RawCaller send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
    return this;
  }

  /** Reads one complete response; throws {@link EOFException} if it is truncated. */
  Response readResponse() throws IOException {
    return readResponse(false);
  }

  Response readResponse(boolean toHeadRequest) throws IOException {
    String statusLine = readLine();
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int status = Integer.parseInt(statusLine.split(" ", 3)[1]);
    String body = "";
    if (headers.containsKey("transfer-encoding")) {
      body = readChunkedBody();
    } else if (headers.containsKey("content-length") && !toHeadRequest) {
      body = readExactly(Integer.parseInt(headers.get("content-length")));
    } else if (!toHeadRequest && status >= 200) {
      body = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    return new Response(status, headers, body);
  }

  private String readChunkedBody() throws IOException {
    StringBuilder body = new StringBuilder();
    for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
      body.append(readExactly(size));
      readLine();
    }
    readLine();
    return body.toString();
  }

  private int readChunkSize() throws IOException {
    return Integer.parseInt(readLine(), 16);
  }

  private String readExactly(int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the response is truncated");
    }
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the response is truncated");
      }
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  /** Returns whether the listener closed the connection without sending further bytes. */
  boolean isClosedByPeer() throws IOException {
    return in.read() < 0;
  }

  void disconnect() throws IOException {
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** A complete response. */
  record Response(int status, Map<String, String> headers, String body) {
    String error() {
      return headers.get("foxtaildoor-error");
    }

    String outcome() {
      return headers.get("foxtaildoor-outcome");
    }
  }
}
