package thistleturn.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.util.Arrays;

/**
 * A connection's bytes: frames of a length (4 bytes), a seal, a kind (1 byte) and a text. The first
 * frame in either direction is a greeting. One that cannot be read ends the connection.
 */
abstract class Frames extends SimpleChannelInboundHandler<ByteBuf> {
  /** Bytes of a frame at most: the full state of some thousand couriers. */
  static final int MOST_BYTES = 1 << 20;

  static final byte GREETING = 1;
  static final byte FULL = 2;
  static final byte CARGO = 3;
  private static final int LENGTH_BYTES = 4;

  private final Seal seal;

  Frames(final Seal seal) {
    this.seal = seal;
  }

  /** Adds what reads frames to a connection's pipeline. */
  final void join(final ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MOST_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES), this);
  }

  /** A frame as it goes out. */
  static ByteBuf frame(final Seal seal, final byte kind, final byte[] text) {
    final byte[] named = new byte[text.length + 1];
    named[0] = kind;
    System.arraycopy(text, 0, named, 1, text.length);
    final byte[] sealed = seal.close(named);
    return Unpooled.wrappedBuffer(
        Unpooled.buffer(LENGTH_BYTES).writeInt(sealed.length), Unpooled.wrappedBuffer(sealed));
  }

  /** A frame came; one that cannot be read is an {@link IOException}. */
  abstract void read(ChannelHandlerContext context, byte kind, byte[] text) throws IOException;

  /** One came that is not this fleet's, or not whole. */
  abstract void malformed();

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final ByteBuf frame) {
    final byte[] sealed = new byte[frame.readableBytes()];
    frame.readBytes(sealed);
    final byte[] named = seal.open(sealed);
    try {
      if (named == null) {
        throw new Codec.MalformedException("a seal of another fleet");
      }
      read(context, named[0], Arrays.copyOfRange(named, 1, named.length));
    } catch (final IOException e) {
      malformed();
      context.close();
    }
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    context.close();
  }
}
