package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** The responses to clients; none of them has a body. */
final class ClientResponses {
  private static final double US_PER_SECOND = 1_000_000;

  /** The response to nearly every request, encoded once. */
  private static final ByteBuf ACCEPTED =
      Unpooled.unreleasableBuffer(
              Unpooled.directBuffer()
                  .writeBytes(
                      "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n"
                          .getBytes(StandardCharsets.US_ASCII)))
          .asReadOnly();

  private ClientResponses() {}

  /** The encoded response to an accepted message on a connection that stays open. */
  static ByteBuf accepted() {
    return ACCEPTED.duplicate();
  }

  /** A response with this status only. */
  static DefaultFullHttpResponse empty(final HttpResponseStatus status) {
    final var response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return response;
  }

  /** The same, with a {@code Retry-After} header if {@code retryAfterUs} is above 0. */
  static DefaultFullHttpResponse empty(final HttpResponseStatus status, final long retryAfterUs) {
    final DefaultFullHttpResponse response = empty(status);
    if (retryAfterUs > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
    }
    return response;
  }

  /**
   * True if the connection may serve further requests after a response with this status. After an
   * invalid request, the later input of the client is not trusted.
   */
  static boolean allowsReuse(final HttpResponseStatus status) {
    return status.code() < HttpResponseStatus.BAD_REQUEST.code()
        || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
        || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || status.equals(HttpResponseStatus.INTERNAL_SERVER_ERROR);
  }
}
