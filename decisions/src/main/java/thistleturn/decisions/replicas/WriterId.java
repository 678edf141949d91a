package thistleturn.decisions.replicas;

import java.util.Comparator;

/**
 * Identifies a writer of entries: a courier and one of its successive stores. A courier that lost
 * its state folder, or had an older one restored, starts a new store, so that a version of a store
 * never identifies two different entries.
 *
 * @param name at most {@link #MAX_NAME_LENGTH} characters
 * @param epoch when the store started, Unix microseconds by the courier's own clock; above 0
 */
public record WriterId(String name, long epoch) implements Comparable<WriterId> {
  /** Maximum number of characters in a name. */
  public static final int MAX_NAME_LENGTH = 64;

  private static final Comparator<WriterId> ORDER =
      Comparator.comparing(WriterId::name).thenComparingLong(WriterId::epoch);

  @Override
  public int compareTo(final WriterId other) {
    return ORDER.compare(this, other);
  }

  /** Returns true if name and epoch are valid. */
  boolean isValid() {
    return !name.isEmpty() && name.length() <= MAX_NAME_LENGTH && epoch > 0;
  }

  /**
   * Returns a hash that is the same on every machine and in every version; partitions and checksums
   * depend on it.
   */
  long stableHash() {
    return 31L * name.hashCode() + 0x9E3779B97F4A7C15L * epoch;
  }

  @Override
  public String toString() {
    return name + '#' + epoch;
  }
}
