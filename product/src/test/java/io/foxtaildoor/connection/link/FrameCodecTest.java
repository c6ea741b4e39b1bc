package io.foxtaildoor.connection.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import io.foxtaildoor.protocol.BodyChunk;
import io.foxtaildoor.protocol.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests of {@link FrameCodec}. */
public class FrameCodecTest {
  private static EmbeddedChannel channelWithCodec() {
    EmbeddedChannel channel = new EmbeddedChannel();
    FrameCodec.install(channel.pipeline());
    return channel;
  }

  /** Guards against frames that change in transfer or are delivered before they are complete. */
  @Test
  public void decodesFrameThatArrivesByteByByte() {
    Frame frame =
        Frame.newBuilder()
            .setRequestBody(
                BodyChunk.newBuilder().setStream(7).setData(ByteString.copyFromUtf8("abc")))
            .build();
    EmbeddedChannel channel = channelWithCodec();
    channel.writeOutbound(frame);
    ByteBuf wire = channel.readOutbound();
    while (wire.readableBytes() > 1) {
      channel.writeInbound(wire.readBytes(1));
      assertNull(channel.readInbound());
    }
    channel.writeInbound(wire);
    assertEquals(channel.readInbound(), frame);
  }

  /** Guards against a length field that makes the node allocate or await a huge frame. */
  @Test
  public void rejectsOversizedFrames() {
    ByteBuf wire = Unpooled.buffer().writeInt(FrameCodec.MAX_FRAME_BYTES + 1).writeZero(10);
    expectThrows(DecoderException.class, () -> channelWithCodec().writeInbound(wire));
  }

  /** Guards against malformed bytes that cause anything but a frame or a decoder error. */
  @Test
  public void randomBytesGiveFrameOrDecoderError() {
    SplittableRandom random = new SplittableRandom(42);
    for (int i = 0; i < 2000; i++) {
      byte[] bytes = new byte[random.nextInt(1, 60)];
      random.nextBytes(bytes);
      EmbeddedChannel channel = channelWithCodec();
      try {
        channel.writeInbound(Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes));
        assertFalse(channel.inboundMessages().isEmpty());
      } catch (DecoderException e) {
        assertNull(channel.readInbound());
      }
    }
  }
}
