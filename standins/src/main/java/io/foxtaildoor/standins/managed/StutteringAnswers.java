package io.foxtaildoor.standins.managed;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.AttributeKey;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Writes the answers of an instance and the second answers that its {@link Stutter} asks for. */
final class StutteringAnswers {
  /** Second answer that is written before the next answer on the connection. */
  private static final AttributeKey<Object> PENDING = AttributeKey.valueOf("pendingSecondAnswer");

  private static final long IDLE_DELAY_MILLIS = 3;
  private static final int SUCCESS = 200;
  private static final int FAILURE = 500;

  private StutteringAnswers() {}

  /** Writes an answer, after the second answer of an earlier run if one is pending. */
  static void write(Channel channel, FullHttpResponse answer, Stutter stutter) {
    Object pending = channel.attr(PENDING).getAndSet(null);
    if (pending != null) {
      var unused =
          pending instanceof ByteBuf
              ? channel.pipeline().firstContext().write(pending)
              : channel.write(pending);
    }
    boolean success = answer.status().code() == SUCCESS;
    switch (stutter) {
      case NONE -> {}
      case BEFORE_NEXT_ANSWER -> {
        if (success) {
          channel.attr(PENDING).set(second(answer, SUCCESS));
        }
      }
      case WITH_OTHER_STATUS ->
          channel.attr(PENDING).set(second(answer, success ? FAILURE : SUCCESS));
      case BROKEN_OFF -> {
        if (success) {
          channel.attr(PENDING).set(startOfSecond(answer));
        }
      }
      case WHILE_IDLE -> {
        if (success) {
          FullHttpResponse second = second(answer, SUCCESS);
          var unused =
              channel
                  .eventLoop()
                  .schedule(
                      () -> HttpStandIn.answer(channel, second),
                      IDLE_DELAY_MILLIS,
                      TimeUnit.MILLISECONDS);
        }
      }
    }
    HttpStandIn.answer(channel, answer);
  }

  private static ByteBuf startOfSecond(FullHttpResponse first) {
    String signature = first.headers().get(ManagedInstance.SIGNATURE);
    String start =
        "HTTP/1.1 200 OK\r\n"
            + ManagedInstance.SIGNATURE
            + ": "
            + signature.substring(0, signature.length() / 2);
    return Unpooled.copiedBuffer(start, StandardCharsets.US_ASCII);
  }

  private static FullHttpResponse second(FullHttpResponse first, int status) {
    String body = status == SUCCESS ? "ok" : "";
    FullHttpResponse second =
        HttpStandIn.response(status, body.getBytes(StandardCharsets.US_ASCII));
    for (String name : List.of(ManagedInstance.REQUEST_ID, ManagedInstance.SIGNATURE)) {
      second.headers().set(name, first.headers().get(name));
    }
    return second;
  }
}
