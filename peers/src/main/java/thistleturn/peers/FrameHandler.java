package thistleturn.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.util.Arrays;
import thistleturn.courier.runtime.Log;
import thistleturn.peers.cbor.MalformedMessageException;

/**
 * Reads and writes the frames of a connection. A frame consists of its length (4 bytes), an
 * authentication tag, its type (1 byte) and a payload. The first frame in each direction is a
 * greeting. A malformed frame closes the connection.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
  /** Large enough for the full state of a few thousand couriers. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  static final byte GREETING = 1;
  static final byte FULL_STATE = 2;
  static final byte PIGGYBACK = 3;
  private static final int LENGTH_BYTES = 4;

  private final MessageAuthenticator authenticator;

  FrameHandler(final MessageAuthenticator authenticator) {
    this.authenticator = authenticator;
  }

  /** Installs this handler in the pipeline of a new connection. */
  final void addTo(final ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES), this);
  }

  /** Returns the bytes of a frame. */
  static ByteBuf encodeFrame(
      final MessageAuthenticator authenticator, final byte type, final byte[] payload) {
    final byte[] typed = new byte[payload.length + 1];
    typed[0] = type;
    System.arraycopy(payload, 0, typed, 1, payload.length);
    final byte[] signed = authenticator.sign(typed);
    return Unpooled.wrappedBuffer(
        Unpooled.buffer(LENGTH_BYTES).writeInt(signed.length), Unpooled.wrappedBuffer(signed));
  }

  /**
   * Handles a received frame.
   *
   * @throws IOException if the payload cannot be read
   */
  abstract void onFrame(ChannelHandlerContext context, byte type, byte[] payload)
      throws IOException;

  /** Handles a frame that fails authentication or cannot be read. */
  abstract void onMalformedFrame();

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final ByteBuf frame) {
    final byte[] signed = new byte[frame.readableBytes()];
    frame.readBytes(signed);
    final byte[] typed = authenticator.verify(signed);
    try {
      if (typed == null) {
        throw new MalformedMessageException("the authentication tag does not match");
      }
      onFrame(context, typed[0], Arrays.copyOfRange(typed, 1, typed.length));
    } catch (final IOException e) {
      onMalformedFrame();
      context.close();
    }
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    Log.failureIfError("a connection to a peer", cause);
    context.close();
  }
}
