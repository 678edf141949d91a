package thistleturn.decisions.replicas;

import java.util.Comparator;

/**
 * Who writes entries: a courier, and which of its stores. A courier that lost its folder, or got an
 * older one back, begins another store, so that no version of one store ever means two things.
 *
 * @param name at most {@link #MAX_NAME_LENGTH} letters
 * @param epoch when the store began, Unix microseconds by the courier's own clock; above 0
 */
public record WriterId(String name, long epoch) implements Comparable<WriterId> {
  /** Letters that a name may have. */
  public static final int MAX_NAME_LENGTH = 64;

  private static final Comparator<WriterId> ORDER =
      Comparator.comparing(WriterId::name).thenComparingLong(WriterId::epoch);

  @Override
  public int compareTo(final WriterId other) {
    return ORDER.compare(this, other);
  }

  /** True for what can be one. */
  boolean isValid() {
    return !name.isEmpty() && name.length() <= MAX_NAME_LENGTH && epoch > 0;
  }

  /** A number that is the same for it on every machine; parts and sums are reckoned by it. */
  long stableHash() {
    return 31L * name.hashCode() + 0x9E3779B97F4A7C15L * epoch;
  }

  @Override
  public String toString() {
    return name + '#' + epoch;
  }
}
