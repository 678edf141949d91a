package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpHeaders;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/**
 * What the headers of a request say that hands a message in. {@code idempotencyKey} is null where
 * none was given; {@code timeoutMs} counts from when its client sent it.
 */
record SubmitRequest(String id, long timeoutMs, long destination, String idempotencyKey) {
  private static final int MAX_ID_CHARS = 128;
  private static final char DELETE = 0x7f;
  private static final char MAX_HEADER_CHAR = 0xff;
  private static final long US_PER_MS = 1000;

  /** What a request's way to this machine, and the clocks, may take at most, us. */
  private static final long MAX_TRANSIT_US = 200_000;

  /**
   * A client waits no longer for its answer, us: what lay unread for longer is wanted by nobody.
   */
  static final long CLIENT_TIMEOUT_US = 400_000;

  /** Reads the headers; null if they lack something or contradict the class. */
  static SubmitRequest parse(final HttpHeaders headers, final MessageClass kind) {
    final String id = headers.get("X-Request-ID", "");
    final long timeoutMs = parseNonNegative(headers.get("X-Timeout-Ms"));
    final long destination = destination(headers.get("X-Consignee"));
    final String key = headers.get("Idempotency-Key");
    final boolean keyed = kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY;
    if (!isHeaderSafe(id)
        || (key != null && !isHeaderSafe(key))
        || id.isEmpty()
        || id.length() > MAX_ID_CHARS
        || timeoutMs < 0
        || destination < 0
        || !kind.name().equals(headers.get("X-Priority-Class"))
        || (keyed && (key == null || key.isEmpty()))) {
      return null;
    }
    return new SubmitRequest(id, timeoutMs, destination, key);
  }

  /**
   * How long a message may still be delivered, us, from its arrival on. Its time runs from when it
   * was sent; how long it lay unread on this machine is not in here, since that is known ({@link
   * ReceiveTimeBound}).
   */
  static long remainingTimeUs(final long timeoutMs, final long deadlineUs) {
    final long lifeUs = Math.min(timeoutMs, deadlineUs / US_PER_MS) * US_PER_MS;
    return lifeUs - Math.min(MAX_TRANSIT_US, lifeUs / 4);
  }

  /** A whole number that is not negative, or -1. */
  private static long parseNonNegative(final String text) {
    try {
      return text == null ? -1 : Math.max(-1, Long.parseLong(text.trim()));
    } catch (final NumberFormatException e) {
      return -1;
    }
  }

  /** The destination that a header of {@code name=value} pairs names, or -1. */
  private static long destination(final String text) {
    if (text != null) {
      for (final String pair : text.split("[,;]")) {
        final String trimmed = pair.trim();
        if (trimmed.startsWith("dest=")) {
          return parseNonNegative(trimmed.substring("dest=".length()));
        }
      }
    }
    return -1;
  }

  /** True for what can stand in a header: it goes on to an endpoint as it is. */
  private static boolean isHeaderSafe(final String text) {
    return text.chars().allMatch(one -> one >= ' ' && one != DELETE && one <= MAX_HEADER_CHAR);
  }
}
