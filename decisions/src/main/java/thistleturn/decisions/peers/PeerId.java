package thistleturn.decisions.peers;

import java.util.Comparator;

/**
 * One incarnation of a courier. A later incarnation of a name has a higher number, and proves that
 * every earlier one has ended.
 *
 * @param name at most {@link #MAX_NAME_LENGTH} characters
 * @param incarnation above 0; starts as the wall clock's microseconds
 */
public record PeerId(String name, long incarnation) implements Comparable<PeerId> {
  /** Characters that a name may have. */
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
