package thistleturn.decisions.replicas;

import java.util.Comparator;

/**
 * Who writes entries: a courier, and which of its stores. A courier that lost its folder, or got an
 * older one back, begins another store, so that no version of one store ever means two things.
 *
 * @param name at most {@link #MOST_NAME} letters
 * @param birth when the store began, Unix microseconds by the courier's own clock; above 0
 */
public record Writer(String name, long birth) implements Comparable<Writer> {
  /** Letters that a name may have. */
  public static final int MOST_NAME = 64;

  private static final Comparator<Writer> ORDER =
      Comparator.comparing(Writer::name).thenComparingLong(Writer::birth);

  @Override
  public int compareTo(final Writer other) {
    return ORDER.compare(this, other);
  }

  /** True for what can be one. */
  boolean isUsable() {
    return !name.isEmpty() && name.length() <= MOST_NAME && birth > 0;
  }

  /** A number that is the same for it on every machine; parts and sums are reckoned by it. */
  long lot() {
    return 31L * name.hashCode() + 0x9E3779B97F4A7C15L * birth;
  }

  @Override
  public String toString() {
    return name + '#' + birth;
  }
}
