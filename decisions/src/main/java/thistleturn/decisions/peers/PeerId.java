package thistleturn.decisions.peers;

import java.util.Comparator;

/**
 * Identifies one incarnation of a courier. A later incarnation of a name has a higher number, and
 * proves that all earlier ones have ended.
 *
 * @param name at most {@link #MAX_NAME_LENGTH} characters
 * @param incarnation above 0; the initial value is the wall-clock time in microseconds
 */
public record PeerId(String name, long incarnation) implements Comparable<PeerId> {
  /** The maximum length of a name, in characters. */
  public static final int MAX_NAME_LENGTH = 64;

  private static final Comparator<PeerId> ORDER =
      Comparator.comparing(PeerId::name).thenComparingLong(PeerId::incarnation);

  @Override
  public int compareTo(final PeerId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return name + '#' + incarnation;
  }
}
