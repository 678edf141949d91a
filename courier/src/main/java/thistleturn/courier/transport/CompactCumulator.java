package thistleturn.courier.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Keeps the bytes that a decoder has not decoded yet in a heap buffer of exactly their size. The
 * buffer of the read is released at once: a decoder would otherwise keep it, or a larger one, for
 * the rest of an incomplete message, so that many connections together used up the direct memory.
 * Stateless.
 */
public final class CompactCumulator implements ByteToMessageDecoder.Cumulator {
  /** The only instance. */
  public static final CompactCumulator INSTANCE = new CompactCumulator();

  private CompactCumulator() {}

  /**
   * Gives up the memory of what has been decoded. Called behind a read, when no part of the buffer
   * is in use elsewhere.
   */
  public static void trim(final ByteBuf undecoded) {
    if (undecoded.isReadable() && undecoded.readerIndex() > 0 && undecoded.refCnt() == 1) {
      undecoded.discardReadBytes();
      undecoded.capacity(undecoded.writerIndex());
    }
  }

  @Override
  public ByteBuf cumulate(
      final ByteBufAllocator allocator, final ByteBuf undecoded, final ByteBuf received) {
    try {
      final byte[] bytes = new byte[undecoded.readableBytes() + received.readableBytes()];
      final int kept = undecoded.readableBytes();
      undecoded.readBytes(bytes, 0, kept);
      received.readBytes(bytes, kept, bytes.length - kept);
      return Unpooled.wrappedBuffer(bytes);
    } finally {
      undecoded.release();
      received.release();
    }
  }
}
