package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Assembles the requests of one connection from the parts that the decoder emits, within the limit
 * of a single body.
 */
final class RequestAssembler {
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final byte[] NO_BODY = {};

  private HttpRequest head;

  /** Null until body bytes are received, so that an idle connection holds no buffer. */
  private ByteArrayOutputStream body;

  private Progress progress = Progress.AWAITING_HEAD;

  /** How far the current request has been received. */
  private enum Progress {
    AWAITING_HEAD,
    RECEIVING_BODY,
    COMPLETE
  }

  /**
   * Adds the next part.
   *
   * @return the status with which the request has to be rejected; empty if the part is valid
   */
  Optional<HttpResponseStatus> add(final HttpObject part) {
    if (part.decoderResult().isFailure()) {
      return Optional.of(rejectionOf(part.decoderResult().cause()));
    }
    if (part instanceof HttpRequest request) {
      head = request;
      progress = Progress.RECEIVING_BODY;
      if (!RequestDecoder.hasUnambiguousFraming(request)) {
        return Optional.of(HttpResponseStatus.BAD_REQUEST);
      }
      if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
        return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      }
    }
    if (part instanceof HttpContent content && progress == Progress.RECEIVING_BODY) {
      return append(content);
    }
    return Optional.empty();
  }

  private Optional<HttpResponseStatus> append(final HttpContent content) {
    final int size = content.content().readableBytes();
    if (bodySize() + size > MAX_BODY_BYTES) {
      return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
    if (size > 0) {
      final byte[] bytes = new byte[size];
      content.content().readBytes(bytes);
      body = body == null ? new ByteArrayOutputStream(size) : body;
      body.writeBytes(bytes);
    }
    if (content instanceof LastHttpContent) {
      progress = Progress.COMPLETE;
    }
    return Optional.empty();
  }

  private int bodySize() {
    return body == null ? 0 : body.size();
  }

  private static HttpResponseStatus rejectionOf(final Throwable decoderFailure) {
    if (decoderFailure instanceof TooLongHttpLineException) {
      return HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    if (decoderFailure instanceof TooLongHttpHeaderException) {
      return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    return HttpResponseStatus.BAD_REQUEST;
  }

  /** True if the last part completed a request, which must then be taken. */
  boolean isComplete() {
    return progress == Progress.COMPLETE;
  }

  /** About how much memory the head of the current request takes. */
  int heldHeadBytes() {
    return LimitedHeaders.heldBytes(head);
  }

  /** About how much memory its body takes, which may be twice its size while it grows. */
  int heldBodyBytes() {
    return 2 * bodySize();
  }

  /** Takes the complete request. */
  QueuedRequest take(final long receivedUs, final long firstByteUs, final long completedUs) {
    final byte[] bytes = body == null ? NO_BODY : body.toByteArray();
    final QueuedRequest request =
        new QueuedRequest(head, bytes, receivedUs, firstByteUs, completedUs);
    clear();
    return request;
  }

  /** Drops what has been received of the current request. */
  void discard() {
    clear();
  }

  private void clear() {
    progress = Progress.AWAITING_HEAD;
    head = null;
    body = null;
  }
}
