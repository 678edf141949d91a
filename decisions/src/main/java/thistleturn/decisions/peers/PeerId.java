package thistleturn.decisions.peers;

import java.util.Comparator;

/**
 * One life of a courier: its name, and which of the lives of that name it is. A later life has a
 * higher incarnation, and proves that every earlier one is over.
 *
 * @param name at most {@link #MAX_NAME_LENGTH} letters
 * @param incarnation above 0; begins as the wall clock's microseconds at a start
 */
public record PeerId(String name, long incarnation) implements Comparable<PeerId> {
  /** Letters that a name may have. */
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
