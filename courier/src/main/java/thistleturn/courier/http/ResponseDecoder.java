package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import thistleturn.courier.transport.CompactCumulator;

/**
 * Decodes responses strictly, and notifies a listener as early as possible: when a response begins,
 * and when its status line is complete, which is valid whether or not the rest is received.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_STATUS_LINE_BYTES = 1024;
  private static final int MAX_HEAD_BYTES = 8192;

  /** Notified of the progress of a response. */
  interface Listener {
    /** Bytes were read from the connection; they must not be changed or kept. */
    void onRead(ByteBuf bytes);

    /** Bytes are about to be decoded, some perhaps again; they must not be changed or kept. */
    void onBytesReceived(ByteBuf bytes);

    /** The status line of a response was received completely. */
    void onStatusLine(HttpResponse statusLine);
  }

  private final Listener listener;

  ResponseDecoder(final Listener listener) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setHeadersFactory(LimitedHeaders.FACTORY)
            .setTrailersFactory(LimitedHeaders.TRAILERS_FACTORY)
            .setUseRfc9112TransferEncoding(true));
    this.listener = listener;
    setCumulator(CompactCumulator.INSTANCE);
  }

  /** How many bytes are held of what is not decoded. */
  int heldBytes() {
    return internalBuffer().capacity();
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object input)
      throws Exception {
    if (input instanceof ByteBuf bytes) {
      listener.onRead(bytes);
    }
    super.channelRead(context, input);
    CompactCumulator.trim(internalBuffer());
  }

  @Override
  protected void decode(
      final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out)
      throws Exception {
    if (bytes.isReadable()) {
      listener.onBytesReceived(bytes);
    }
    super.decode(context, bytes, out);
  }

  @Override
  protected HttpMessage createMessage(final String[] initialLine) {
    final HttpMessage message = super.createMessage(initialLine);
    listener.onStatusLine((HttpResponse) message);
    return message;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
  }

  /** No call requests a protocol upgrade, so 101 is treated as any informational response. */
  @Override
  protected boolean isSwitchingToNonHttp1Protocol(final HttpResponse response) {
    return false;
  }
}
