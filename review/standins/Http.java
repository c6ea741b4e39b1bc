import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
  private Http() {}

  /** Start line and headers of a message; header names are in lower case. */
  record Head(String startLine, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }
  }

  /** Reads a head; null at the end of the stream. */
  static Head readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = required(in); !line.isEmpty(); line = required(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    return new Head(start, headers);
  }

  private static String required(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("the connection ended within a message");
    }
    return line;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b != '\n') {
      if (b < 0) {
        throw new EOFException("the connection ended within a line");
      }
      if (b != '\r') {
        line.write(b);
      }
      b = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a body that has a length or is chunked; throws if it ends early. */
  static byte[] readBody(Head head, InputStream in) throws IOException {
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
        body.write(exactly(in, size));
        required(in);
      }
      required(in);
      return body.toByteArray();
    }
    String length = head.header("content-length");
    return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
  }

  /** Reads the size of the next chunk of a chunked body. */
  static int chunkSize(InputStream in) throws IOException {
    return Integer.parseInt(required(in).split(";")[0].trim(), 16);
  }

  static byte[] exactly(InputStream in, int bytes) throws IOException {
    byte[] data = in.readNBytes(bytes);
    if (data.length < bytes) {
      throw new EOFException("the body ended early");
    }
    return data;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
