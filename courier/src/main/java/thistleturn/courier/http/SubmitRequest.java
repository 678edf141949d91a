package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpHeaders;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/**
 * The headers of a request that submits a message.
 *
 * @param timeoutMs the time within which to deliver the message, from when the client sent it
 * @param idempotencyKey null if none was given
 */
record SubmitRequest(String id, long timeoutMs, long destination, String idempotencyKey) {
  private static final int MAX_ID_CHARS = 128;
  private static final char DELETE = 0x7f;
  private static final char MAX_HEADER_CHAR = 0xff;
  private static final long US_PER_MS = 1000;
  private static final long INVALID = -1;

  /** The time that a request may spend in transit, including clock differences. */
  private static final long MAX_TRANSIT_US = 200_000;

  /** A client abandons a request that is not answered within this time. */
  static final long CLIENT_TIMEOUT_US = 400_000;

  /** Parses the headers; returns null if they are incomplete or contradict the message class. */
  static SubmitRequest parse(final HttpHeaders headers, final MessageClass messageClass) {
    final String id = headers.get("X-Request-ID", "");
    final long timeoutMs = parseNonNegative(headers.get("X-Timeout-Ms"));
    final long destination = parseDestination(headers.get("X-Consignee"));
    final String key = headers.get("Idempotency-Key");
    final boolean valid =
        isValidId(id)
            && isValidKey(key, messageClass)
            && timeoutMs >= 0
            && destination >= 0
            && messageClass.name().equals(headers.get("X-Priority-Class"));
    return valid ? new SubmitRequest(id, timeoutMs, destination, key) : null;
  }

  private static boolean isValidId(final String id) {
    return !id.isEmpty() && id.length() <= MAX_ID_CHARS && isHeaderSafe(id);
  }

  private static boolean isValidKey(final String key, final MessageClass messageClass) {
    if (key == null || key.isEmpty()) {
      return messageClass.idempotence() != Idempotence.IDEMPOTENT_BY_KEY;
    }
    return isHeaderSafe(key);
  }

  /** When the message expires: by its own timeout or by the deadline of its class. */
  long deadlineUs(final QueuedRequest request, final MessageClass messageClass) {
    return request.receivedUs() + remainingTimeUs(timeoutMs, messageClass.deadlineUs());
  }

  /**
   * The time left to deliver a message, us, from when it reached this machine. Its timeout began
   * when it was sent, so the transit time is deducted. The time that it waited here unread is not
   * deducted, since the arrival time is known ({@link ReceiveTimeBound}).
   */
  static long remainingTimeUs(final long timeoutMs, final long classDeadlineUs) {
    final long timeoutUs = Math.min(timeoutMs, classDeadlineUs / US_PER_MS) * US_PER_MS;
    return timeoutUs - Math.min(MAX_TRANSIT_US, timeoutUs / 4);
  }

  /** The message that the request submits. */
  StoredMessage toMessage(
      final QueuedRequest request, final MessageClass messageClass, final long deadlineUs) {
    final StoredMessage message =
        new StoredMessage(
            id, messageClass.name(), idempotencyKey, destination, deadlineUs, request.body());
    message.startTimeline(
        new MessageTimeline(
            request.receivedUs(),
            request.firstByteUs(),
            request.completedUs(),
            request.receivedUs() + timeoutMs * US_PER_MS));
    return message;
  }

  private static long parseNonNegative(final String text) {
    try {
      return text == null ? INVALID : Math.max(INVALID, Long.parseLong(text.trim()));
    } catch (final NumberFormatException e) {
      return INVALID;
    }
  }

  /** The destination in a header of {@code name=value} pairs. */
  private static long parseDestination(final String text) {
    if (text != null) {
      for (final String pair : text.split("[,;]")) {
        final String trimmed = pair.trim();
        if (trimmed.startsWith("dest=")) {
          return parseNonNegative(trimmed.substring("dest=".length()));
        }
      }
    }
    return INVALID;
  }

  /** True if the text can be forwarded unchanged in a header. */
  private static boolean isHeaderSafe(final String text) {
    return text.chars()
        .allMatch(
            character -> character >= ' ' && character != DELETE && character <= MAX_HEADER_CHAR);
  }
}
