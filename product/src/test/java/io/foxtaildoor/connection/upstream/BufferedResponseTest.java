package io.foxtaildoor.connection.upstream;

import static org.testng.Assert.assertEquals;

import io.foxtaildoor.connection.link.ResponseStream;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link BufferedResponse}. */
public class BufferedResponseTest {
  private static final int LIMIT = 8;

  private final List<String> calls = new ArrayList<>();

  private final class RecordingStream implements ResponseStream {
    @Override
    public void start(ResponseStart head) {
      calls.add("start " + head.getStatus());
    }

    @Override
    public void send(ByteBuf data, boolean end) {
      calls.add("send " + text(data) + (end ? " end" : ""));
    }

    @Override
    public void sendResponse(ResponseStart head, ByteBuf body) {
      calls.add("answer " + head.getStatus() + " " + text(body));
    }

    private static String text(ByteBuf data) {
      String text = data.toString(StandardCharsets.US_ASCII);
      data.release();
      return text;
    }

    @Override
    public void fail(StreamFailure failure) {
      calls.add("fail");
    }

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public void consumed(int bytes) {
      calls.add("consumed " + bytes);
    }

    @Override
    public EventLoop eventLoop() {
      throw new UnsupportedOperationException();
    }
  }

  private List<String> respond(int limit, String... parts) {
    calls.clear();
    BufferedResponse buffered = new BufferedResponse(limit, new RecordingStream());
    buffered.start(ResponseStart.newBuilder().setStatus(200).build());
    for (int i = 0; i < parts.length; i++) {
      ByteBuf part = Unpooled.copiedBuffer(parts[i], StandardCharsets.US_ASCII);
      buffered.add(part, i == parts.length - 1);
      part.release();
    }
    return List.copyOf(calls);
  }

  /**
   * Guards against a small response that is cut off because the node stops after sending its head.
   */
  @Test
  public void smallResponseIsForwardedAsAWhole() {
    assertEquals(respond(LIMIT, "abc"), List.of("answer 200 abc"));
    assertEquals(respond(LIMIT, "abc", "de", ""), List.of("answer 200 abcde"));
    assertEquals(respond(LIMIT, ""), List.of("answer 200 "));
  }

  /** Guards against buffering a large response, and against losing its buffered first part. */
  @Test
  public void largeResponseIsForwardedInParts() {
    assertEquals(
        respond(LIMIT, "abcd", "efghij", "k"),
        List.of("start 200", "send abcd", "send efghij", "send k end"));
  }

  /** Guards against buffering when the limit of 0 disables it. */
  @Test
  public void nothingIsBufferedWithLimitZero() {
    assertEquals(respond(0, "a", "b"), List.of("start 200", "send a", "send b end"));
  }
}
