package thistleturn.decisions.replicas;

/**
 * One of several parts into which writers are divided by their hashes, so that several couriers can
 * serve a part each.
 */
record Partition(int index, int count) {
  /** The only part of an undivided whole. */
  static final Partition ALL = new Partition(0, 1);

  private static final int MAX_COUNT = 1 << 12;

  /** Returns true for a part that can exist. */
  boolean isValid() {
    return count >= 1 && count <= MAX_COUNT && index >= 0 && index < count;
  }

  /** Returns true if that writer belongs to this part. */
  boolean includes(final WriterId writer) {
    return count <= 1 ? index == 0 : Math.floorMod(writer.stableHash(), (long) count) == index;
  }
}
