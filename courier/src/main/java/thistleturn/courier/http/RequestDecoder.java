package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.function.Consumer;
import thistleturn.courier.transport.CompactCumulator;

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
          .setHeadersFactory(LimitedHeaders.FACTORY)
          .setTrailersFactory(LimitedHeaders.TRAILERS_FACTORY)
          .setUseRfc9112TransferEncoding(true);

  private final Consumer<ByteBuf> receiveListener;

  /** The request whose head is being received; null if none is. */
  private HttpMessage incompleteHead;

  /**
   * Creates a decoder.
   *
   * @param receiveListener notified of all bytes, including those that do not complete a head
   */
  RequestDecoder(final Consumer<ByteBuf> receiveListener) {
    super(CONFIG);
    this.receiveListener = receiveListener;
    setCumulator(CompactCumulator.INSTANCE);
  }

  /** How many bytes are held of what is not decoded completely. */
  int heldBytes() {
    return internalBuffer().capacity() + LimitedHeaders.heldBytes(incompleteHead);
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object input)
      throws Exception {
    if (input instanceof ByteBuf bytes) {
      receiveListener.accept(bytes);
    }
    super.channelRead(context, input);
    CompactCumulator.trim(internalBuffer());
  }

  @Override
  protected HttpMessage createMessage(final String[] initialLine) throws Exception {
    incompleteHead = super.createMessage(initialLine);
    return incompleteHead;
  }

  @Override
  protected void decode(
      final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out)
      throws Exception {
    super.decode(context, bytes, out);
    if (!out.isEmpty()) {
      incompleteHead = null;
    }
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
