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

/** Tests of {@link HeldAnswer}. */
public class HeldAnswerTest {
  private static final int LIMIT = 8;

  private final List<String> calls = new ArrayList<>();

  private final class Recorder implements ResponseStream {
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

  private List<String> answer(int limit, String... parts) {
    calls.clear();
    HeldAnswer held = new HeldAnswer(limit, new Recorder());
    held.start(ResponseStart.newBuilder().setStatus(200).build());
    for (int i = 0; i < parts.length; i++) {
      ByteBuf part = Unpooled.copiedBuffer(parts[i], StandardCharsets.US_ASCII);
      held.add(part, i == parts.length - 1);
      part.release();
    }
    return List.copyOf(calls);
  }

  /** Guards against a small answer that is cut when the node ends between its head and its body. */
  @Test
  public void smallAnswerIsPassedOnAtOnce() {
    assertEquals(answer(LIMIT, "abc"), List.of("answer 200 abc"));
    assertEquals(answer(LIMIT, "abc", "de", ""), List.of("answer 200 abcde"));
    assertEquals(answer(LIMIT, ""), List.of("answer 200 "));
  }

  /** Guards against a large answer that is held, or whose held begin is lost. */
  @Test
  public void largeAnswerIsPassedOnInParts() {
    assertEquals(
        answer(LIMIT, "abcd", "efghij", "k"),
        List.of("start 200", "send abcd", "send efghij", "send k end"));
  }

  /** Guards against a hold where none is wanted. */
  @Test
  public void nothingIsHeldWithoutALimit() {
    assertEquals(answer(0, "a", "b"), List.of("start 200", "send a", "send b end"));
  }
}
