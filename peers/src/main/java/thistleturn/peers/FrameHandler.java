package thistleturn.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.util.Arrays;
import thistleturn.peers.cbor.MalformedMessageException;

/**
 * A connection's bytes: frames of a length (4 bytes), a seal, a kind (1 byte) and a text. The first
 * frame in either direction is a greeting. One that cannot be read ends the connection.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
  /** Bytes of a frame at most: the full state of some thousand couriers. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  static final byte GREETING = 1;
  static final byte FULL_STATE = 2;
  static final byte PIGGYBACK = 3;
  private static final int LENGTH_BYTES = 4;

  private final MessageAuthenticator authenticator;

  FrameHandler(final MessageAuthenticator seal) {
    this.authenticator = seal;
  }

  /** Adds what reads frames to a connection's pipeline. */
  final void addTo(final ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES), this);
  }

  /** A frame as it goes out. */
  static ByteBuf encodeFrame(final MessageAuthenticator seal, final byte kind, final byte[] text) {
    final byte[] named = new byte[text.length + 1];
    named[0] = kind;
    System.arraycopy(text, 0, named, 1, text.length);
    final byte[] sealed = seal.sign(named);
    return Unpooled.wrappedBuffer(
        Unpooled.buffer(LENGTH_BYTES).writeInt(sealed.length), Unpooled.wrappedBuffer(sealed));
  }

  /** A frame came; one that cannot be read is an {@link IOException}. */
  abstract void onFrame(ChannelHandlerContext context, byte kind, byte[] text) throws IOException;

  /** One came that is not this fleet's, or not whole. */
  abstract void onMalformedFrame();

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final ByteBuf frame) {
    final byte[] sealed = new byte[frame.readableBytes()];
    frame.readBytes(sealed);
    final byte[] named = authenticator.verify(sealed);
    try {
      if (named == null) {
        throw new MalformedMessageException("a seal of another fleet");
      }
      onFrame(context, named[0], Arrays.copyOfRange(named, 1, named.length));
    } catch (final IOException e) {
      onMalformedFrame();
      context.close();
    }
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    context.close();
  }
}
