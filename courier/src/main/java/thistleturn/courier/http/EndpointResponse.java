package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The response to one call, as far as it has been received. */
final class EndpointResponse {
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final byte[] NO_BODY = {};

  /** Set as soon as the status line is received; its headers may be missing. */
  private HttpResponse statusLine;

  /** Set once the head is received completely. */
  private HttpResponse head;

  private boolean keepAlive;

  /** Null while nothing of a body has been received. */
  private ByteArrayOutputStream body;

  private boolean complete;

  /** Clears the response before the next call. */
  void reset() {
    statusLine = null;
    head = null;
    body = null;
    complete = false;
  }

  /** About how much memory its head takes. */
  int heldHeadBytes() {
    return LimitedHeaders.heldBytes(receivedHead());
  }

  /** About how much memory its body takes, which may be twice its size while it grows. */
  int heldBodyBytes() {
    return body == null ? 0 : 2 * body.size();
  }

  /** Records the status line, before the rest of the head is received. */
  void onStatusLine(final HttpResponse received) {
    statusLine = received;
  }

  /** Adds the next part; returns false if the response is invalid. */
  boolean add(final HttpObject part) {
    if (part instanceof HttpResponse response) {
      if (response.status().code() > MAX_STATUS
          || !RequestDecoder.hasUnambiguousFraming(response)) {
        return false;
      }
      head = response;
      keepAlive = HttpUtil.isKeepAlive(response);
    }
    if (part instanceof HttpContent content && !append(content.content())) {
      return false;
    }
    if (part instanceof LastHttpContent && head != null) {
      endResponse();
    }
    return true;
  }

  private boolean append(final ByteBuf content) {
    final int size = content.readableBytes();
    if (size == 0) {
      return true;
    }
    body = body == null ? new ByteArrayOutputStream(size) : body;
    if (body.size() + size > MAX_BODY_BYTES) {
      return false;
    }
    try {
      content.readBytes(body, size);
    } catch (final IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return true;
  }

  /** An informational response is skipped: the final one follows it. */
  private void endResponse() {
    if (head.status().code() >= MIN_FINAL_STATUS) {
      complete = true;
    } else {
      statusLine = null;
      head = null;
    }
  }

  boolean isComplete() {
    return complete;
  }

  boolean hasStatusLine() {
    return statusLine != null;
  }

  /** True if a valid status line with a final status was received, whether or not the rest was. */
  boolean hasFinalStatus() {
    return statusLine != null
        && statusLine.protocolVersion().majorVersion() == 1
        && statusLine.status().code() >= MIN_FINAL_STATUS
        && statusLine.status().code() <= MAX_STATUS;
  }

  /** The head, or as much of it as was received; null if not even the status line was. */
  HttpResponse receivedHead() {
    return head == null ? statusLine : head;
  }

  /** Whether the body holds the beginning of another response, so that it is parts of two. */
  boolean containsAnotherResponse() {
    return body != null
        && body.toString(StandardCharsets.ISO_8859_1).contains(EndpointResponseParser.START);
  }

  /** The last bytes of the body, fewer than the beginning of a response has. */
  String endOfBody() {
    final byte[] bytes = body();
    final int length = Math.min(bytes.length, EndpointResponseParser.START.length() - 1);
    return new String(bytes, bytes.length - length, length, StandardCharsets.ISO_8859_1);
  }

  /** The complete head; null if it has not been received. */
  HttpResponse head() {
    return head;
  }

  /** True if the endpoint keeps the connection open after this response. */
  boolean isKeepAlive() {
    return keepAlive;
  }

  byte[] body() {
    return body == null ? NO_BODY : body.toByteArray();
  }
}
