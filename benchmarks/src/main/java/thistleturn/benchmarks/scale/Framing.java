package thistleturn.benchmarks.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Minimal decoder of HTTP/1.1 messages that are framed by Content-Length alone, so that the load
 * driver costs a fraction of the courier it drives. It reads only messages written by this project
 * and does not validate its input.
 */
abstract class Framing extends ByteToMessageDecoder {
  private static final byte[] END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LENGTH = "content-length:".getBytes(StandardCharsets.US_ASCII);

  /**
   * Called for each complete message. It starts at {@code from} in {@code bytes}, and its head ends
   * before {@code headEnd}.
   */
  abstract void onMessage(ChannelHandlerContext context, ByteBuf bytes, int from, int headEnd);

  @Override
  protected void decode(
      final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out) {
    final int from = bytes.readerIndex();
    final int end = indexOf(bytes, END, from, bytes.writerIndex());
    if (end < 0) {
      return;
    }
    final int at = indexOf(bytes, LENGTH, from, end);
    final int messageEnd = end + END.length + (at < 0 ? 0 : number(bytes, at + LENGTH.length));
    if (messageEnd <= bytes.writerIndex()) {
      onMessage(context, bytes, from, end);
      bytes.readerIndex(messageEnd);
    }
  }

  /** Parses the decimal number at {@code from}, after any spaces. */
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

  /** Index of a text given in lower case, ignoring case; -1 if absent. */
  static int indexOf(final ByteBuf bytes, final byte[] text, final int from, final int to) {
    for (int at = from; at <= to - text.length; at++) {
      int matched = 0;
      while (matched < text.length && lower(bytes.getByte(at + matched)) == text[matched]) {
        matched++;
      }
      if (matched == text.length) {
        return at;
      }
    }
    return -1;
  }

  private static int lower(final byte one) {
    return one >= 'A' && one <= 'Z' ? one + 'a' - 'A' : one;
  }

  /** Closes the connection; subclasses count ended connections where that matters. */
  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    context.close();
  }
}
