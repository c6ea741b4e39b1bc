package io.foxtaildoor.connection.link;

import io.foxtaildoor.protocol.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;

/** Encodes and decodes frames: a big-endian 32-bit length, then a serialized {@link Frame}. */
final class FrameCodec {
  /** Maximum size of a serialized frame in bytes, without the length field. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  private static final int LENGTH_BYTES = Integer.BYTES;

  private FrameCodec() {}

  /** Adds the frame decoder and encoder to a pipeline. */
  static void install(ChannelPipeline pipeline) {
    pipeline
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES + LENGTH_BYTES, 0, 4, 0, LENGTH_BYTES))
        .addLast(new Decoder())
        .addLast(new Encoder());
  }

  private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws IOException {
      try (ByteBufInputStream stream = new ByteBufInputStream(in)) {
        out.add(Frame.parseFrom(stream));
      }
    }
  }

  private static final class Encoder extends MessageToByteEncoder<Frame> {
    @Override
    protected ByteBuf allocateBuffer(ChannelHandlerContext ctx, Frame frame, boolean preferDirect) {
      int size = LENGTH_BYTES + frame.getSerializedSize();
      return preferDirect ? ctx.alloc().ioBuffer(size) : ctx.alloc().heapBuffer(size);
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) throws IOException {
      int size = frame.getSerializedSize();
      if (size > MAX_FRAME_BYTES) {
        throw new TooLongFrameException("frame of " + size + " bytes is too large to send");
      }
      out.writeInt(size);
      try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
        frame.writeTo(stream);
      }
    }
  }
}
