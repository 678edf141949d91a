package thistleturn.decisions.peers;

/**
 * Which view somebody holds. Marks are compared by {@link #isPreferredOver} only across lines.
 *
 * @param generation of its line; 0: it holds none
 * @param founder a number drawn by whoever founded the line
 * @param number of the view in its line, from 1
 * @param size how many members it has
 */
public record ViewId(long generation, long founder, long number, int size) {
  /** No view. */
  public static final ViewId NONE = new ViewId(0, 0, 0, 0);

  /** True for a view at all. */
  public boolean isPresent() {
    return generation > 0;
  }

  /** True if both are views of one line, in which a number has one content. */
  public boolean isSameLineage(final ViewId other) {
    return generation == other.generation && founder == other.founder;
  }

  /**
   * True if a member of the other line moves to this one: the larger one, then the later one, then
   * by lot.
   */
  public boolean isPreferredOver(final ViewId other) {
    if (size != other.size) {
      return size > other.size;
    }
    return generation != other.generation ? generation > other.generation : founder > other.founder;
  }
}
