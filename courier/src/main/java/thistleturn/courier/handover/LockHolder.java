package thistleturn.courier.handover;

import java.util.Optional;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * A process that held the lock of a state folder, and since when. It made the calls that began
 * between then and the next holder's time.
 *
 * @param process the process
 * @param sinceUs when it took the lock, in microseconds of the machine's monotonic clock
 */
record LockHolder(ProcessIdentity process, long sinceUs) {
  /** Returns the holder as a line of text, without a line break. */
  String toText() {
    return sinceUs + " " + process.toText();
  }

  /** Reads what {@link #toText} wrote; empty if it is something else. */
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
