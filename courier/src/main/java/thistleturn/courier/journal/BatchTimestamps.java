package thistleturn.courier.journal;

import java.nio.ByteBuffer;

/**
 * The clocks when a batch was written, in microseconds; they precede the batch's records.
 *
 * @param monotonicUs the machine's monotonic clock
 * @param wallClockUs Unix time
 */
record BatchTimestamps(long monotonicUs, long wallClockUs) {
  static final int BYTES = 2 * Long.BYTES;

  /** Reads the clocks from the content of a batch, without moving its position. */
  static BatchTimestamps read(final ByteBuffer content) {
    return new BatchTimestamps(content.getLong(0), content.getLong(Long.BYTES));
  }

  /** Writes the clocks into a batch. */
  void write(final ByteBuffer batch, final int offset) {
    batch.putLong(offset, monotonicUs);
    batch.putLong(offset + Long.BYTES, wallClockUs);
  }
}
