package thistleturn.courier.http;

/**
 * Limits the time that the event loop spends on input which is decoded into many small parts: a
 * body in chunks of one byte takes a hundred times as long as the same bytes in one piece. A read
 * with few parts is free. Each further part takes time from an allowance that all connections of
 * one event loop share; a connection is not read until the time that it took has passed.
 */
final class DecodingBudget {
  /** A usual read has a request or two; one of the largest size in chunks of 256 bytes is free. */
  private static final int FREE_PARTS_PER_READ = 64;

  /** A part takes about 1 us, so that they take a twentieth of the time at most. */
  private static final long US_PER_PART = 20;

  private long usedUntilUs;

  /**
   * Takes the parts of one read from the allowance.
   *
   * @return how long the connection must not be read, us; 0 if the read was a usual one
   */
  long take(final int parts, final long nowUs) {
    final int excess = parts - FREE_PARTS_PER_READ;
    if (excess <= 0) {
      return 0;
    }
    usedUntilUs = Math.max(usedUntilUs, nowUs) + excess * US_PER_PART;
    return usedUntilUs - nowUs;
  }
}
