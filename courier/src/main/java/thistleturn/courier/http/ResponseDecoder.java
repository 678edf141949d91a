package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Reads answers strictly, and tells of each as soon as there is something to tell: that it has
 * begun, and what its first line says, which is true whatever becomes of the rest.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_STATUS_LINE_BYTES = 1024;
  private static final int MAX_HEAD_BYTES = 8192;

  /** Who is told. */
  interface Listener {
    /** Bytes of an answer have come. */
    void onResponseStarted();

    /** The first line of an answer has come whole. */
    void onStatusLine(HttpResponse answer);
  }

  private final Listener listener;

  ResponseDecoder(final Listener listener) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true));
    this.listener = listener;
  }

  @Override
  protected void decode(
      final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out)
      throws Exception {
    if (bytes.isReadable()) {
      listener.onResponseStarted();
    }
    super.decode(context, bytes, out);
  }

  @Override
  protected HttpMessage createMessage(final String[] firstLine) {
    final HttpMessage message = super.createMessage(firstLine);
    listener.onStatusLine((HttpResponse) message);
    return message;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
    throw new IllegalArgumentException("a length and a transfer coding");
  }

  /** No call asks for another protocol: a 101 is one more answer that is not the last. */
  @Override
  protected boolean isSwitchingToNonHttp1Protocol(final HttpResponse answer) {
    return false;
  }
}
