package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.function.Consumer;

/**
 * Reads requests strictly. The library forgives a length beside a transfer coding by dropping one
 * of them; but two readers that drop different ones see different requests, and a request could be
 * hidden in another's body.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int MAX_REQUEST_LINE_BYTES = 2048;
  private static final int MAX_HEAD_BYTES = 8192;

  private static final HttpDecoderConfig CONFIG =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
          .setMaxHeaderSize(MAX_HEAD_BYTES)
          .setAllowDuplicateContentLengths(false)
          .setStrictLineParsing(true)
          .setUseRfc9112TransferEncoding(true);

  private final Consumer<ByteBuf> receiveListener;

  /** {@code bytesCame} is told of all that is read, also of what is no head yet. */
  RequestDecoder(final Consumer<ByteBuf> bytesCame) {
    super(CONFIG);
    this.receiveListener = bytesCame;
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object bytes)
      throws Exception {
    if (bytes instanceof ByteBuf read) {
      receiveListener.accept(read);
    }
    super.channelRead(context, bytes);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
    throw new IllegalArgumentException("a length and a transfer coding");
  }

  /**
   * True where the body's end is told by the one coding that is understood here, or by a length
   * alone.
   */
  static boolean hasUnambiguousFraming(final HttpMessage message) {
    final var codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || (codings.size() == 1
            && codings.get(0).trim().equalsIgnoreCase("chunked")
            && !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH));
  }
}
