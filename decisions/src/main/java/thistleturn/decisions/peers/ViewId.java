package thistleturn.decisions.peers;

/**
 * Identifies a view. Ids are compared by {@link #isPreferredOver} across lineages, and by number
 * within one.
 *
 * @param generation the generation of the lineage; 0 if there is no view
 * @param founder a random number drawn by the founder of the lineage
 * @param number the number of the view within the lineage, from 1
 * @param size the number of members of the view
 */
public record ViewId(long generation, long founder, long number, int size) {
  /** Stands for no view. */
  public static final ViewId NONE = new ViewId(0, 0, 0, 0);

  /** Returns true unless this stands for no view. */
  public boolean isPresent() {
    return generation > 0;
  }

  /**
   * Returns true if both views belong to one lineage, in which views with the same number are
   * equal.
   */
  public boolean isSameLineage(final ViewId other) {
    return generation == other.generation && founder == other.founder;
  }

  /**
   * Returns true if members of the other view's lineage are to move to this view's lineage: the
   * larger view is preferred, then the later generation, then the higher founder.
   */
  public boolean isPreferredOver(final ViewId other) {
    if (size != other.size) {
      return size > other.size;
    }
    if (generation != other.generation) {
      return generation > other.generation;
    }
    return founder > other.founder;
  }
}
