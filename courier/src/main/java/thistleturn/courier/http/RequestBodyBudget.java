package thistleturn.courier.http;

/**
 * Limits how many bytes of request bodies all connections of one ingress buffer together. Used on
 * the event loop only.
 */
final class RequestBodyBudget {
  private static final int MAX_BUFFERED_BYTES = 1 << 22;

  private int bufferedBytes;

  /** Reserves the bytes; returns false, with nothing reserved, if the limit would be exceeded. */
  boolean tryReserve(final int bytes) {
    if (bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
      return false;
    }
    bufferedBytes += bytes;
    return true;
  }

  /** Returns bytes that were reserved before. */
  void release(final int bytes) {
    bufferedBytes -= bytes;
  }
}
