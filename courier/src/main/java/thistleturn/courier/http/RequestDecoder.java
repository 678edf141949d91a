package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.function.Consumer;

/**
 * Decodes requests strictly. Netty accepts a request with both Content-Length and Transfer-Encoding
 * by ignoring one of them. Two decoders that ignore different ones see different requests, which
 * allows request smuggling.
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

  /**
   * Creates a decoder.
   *
   * @param receiveListener notified of all bytes, including those that do not complete a head
   */
  RequestDecoder(final Consumer<ByteBuf> receiveListener) {
    super(CONFIG);
    this.receiveListener = receiveListener;
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object input)
      throws Exception {
    if (input instanceof ByteBuf bytes) {
      receiveListener.accept(bytes);
    }
    super.channelRead(context, input);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
  }

  /** True if the end of the body follows from chunked encoding alone, or from a length alone. */
  static boolean hasUnambiguousFraming(final HttpMessage message) {
    final var codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || (codings.size() == 1
            && codings.get(0).trim().equalsIgnoreCase("chunked")
            && !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH));
  }
}
