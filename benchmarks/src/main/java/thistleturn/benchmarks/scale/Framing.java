package thistleturn.benchmarks.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The least that tells where one HTTP/1.1 message ends that has a Content-Length and no other
 * framing: so the driver costs a fraction of what it drives. What comes here was written by this
 * project; it is no reader for strangers.
 */
abstract class Framing extends ByteToMessageDecoder {
  private static final byte[] END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LENGTH = "content-length:".getBytes(StandardCharsets.US_ASCII);

  /**
   * One whole message lies in {@code bytes} from {@code from} on; its head ends before {@code
   * headEnd}.
   */
  abstract void message(ChannelHandlerContext context, ByteBuf bytes, int from, int headEnd);

  @Override
  protected void decode(
      final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out) {
    final int from = bytes.readerIndex();
    final int end = indexOf(bytes, END, from, bytes.writerIndex());
    if (end < 0) {
      return;
    }
    final int at = indexOf(bytes, LENGTH, from, end);
    final int whole = end + END.length + (at < 0 ? 0 : number(bytes, at + LENGTH.length));
    if (whole <= bytes.writerIndex()) {
      message(context, bytes, from, end);
      bytes.readerIndex(whole);
    }
  }

  /** The whole number that stands there. */
  static int number(final ByteBuf bytes, final int from) {
    int at = from;
    while (bytes.getByte(at) == ' ') {
      at++;
    }
    int number = 0;
    while (bytes.getByte(at) >= '0' && bytes.getByte(at) <= '9') {
      number = 10 * number + bytes.getByte(at++) - '0';
    }
    return number;
  }

  /** Where a text stands that is given in small letters, or -1. */
  static int indexOf(final ByteBuf bytes, final byte[] text, final int from, final int to) {
    for (int at = from; at <= to - text.length; at++) {
      int same = 0;
      while (same < text.length && lower(bytes.getByte(at + same)) == text[same]) {
        same++;
      }
      if (same == text.length) {
        return at;
      }
    }
    return -1;
  }

  private static int lower(final byte one) {
    return one >= 'A' && one <= 'Z' ? one + 'a' - 'A' : one;
  }

  /** Connections end as they like here; that is counted where it matters. */
  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    context.close();
  }
}
