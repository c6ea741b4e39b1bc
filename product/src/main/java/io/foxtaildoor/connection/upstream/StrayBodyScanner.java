package io.foxtaildoor.connection.upstream;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Searches the body of a stray response for a status line. A body that is shorter than declared
 * takes in the head of the response to the request in progress.
 */
final class StrayBodyScanner {
  /** Length of a status line up to the character after its status code, without that character. */
  private static final int TAIL_LENGTH = "HTTP/1.1 200".length();

  private String tail = "";

  /** Begins a new body. */
  void reset() {
    tail = "";
  }

  /** Whether a status line ends in this part of the body, which may begin in an earlier part. */
  boolean findsStatusLine(ByteBuf part) {
    String text = tail + part.toString(StandardCharsets.ISO_8859_1);
    tail = text.substring(Math.max(0, text.length() - TAIL_LENGTH));
    return ResponseChecks.containsStatusLine(text);
  }
}
