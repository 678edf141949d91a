package thistleturn.decisions.replicas;

/**
 * One of several partitions of the writers, by their hashes, so that several couriers can serve one
 * partition each.
 */
record Partition(int index, int count) {
  /** The single partition that includes all writers. */
  static final Partition ALL = new Partition(0, 1);

  private static final int MAX_COUNT = 1 << 12;

  /** Returns true if index and count are valid. */
  boolean isValid() {
    return count >= 1 && count <= MAX_COUNT && index >= 0 && index < count;
  }

  /** Returns true if the writer belongs to this partition. */
  boolean includes(final WriterId writer) {
    return count <= 1 ? index == 0 : Math.floorMod(writer.stableHash(), (long) count) == index;
  }
}
