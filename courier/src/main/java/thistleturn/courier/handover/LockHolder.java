package thistleturn.courier.handover;

import java.util.Optional;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * A process that held the lock of a state folder, and since when. It made the calls that started
 * between then and the time when the next holder took the lock.
 *
 * @param process the process
 * @param sinceUs when it took the lock, in microseconds of the machine's monotonic clock
 */
record LockHolder(ProcessIdentity process, long sinceUs) {
  /** Returns the holder as a line of text, without a line break. */
  String toText() {
    return sinceUs + " " + process.toText();
  }

  /** Parses a line that {@link #toText} wrote; empty for any other line. */
  static Optional<LockHolder> parse(final String line) {
    final int separator = line.indexOf(' ');
    if (separator < 0) {
      return Optional.empty();
    }
    try {
      final long sinceUs = Long.parseLong(line.substring(0, separator));
      return ProcessIdentity.parse(line.substring(separator + 1))
          .map(process -> new LockHolder(process, sinceUs));
    } catch (final NumberFormatException e) {
      return Optional.empty();
    }
  }
}
