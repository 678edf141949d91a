package thistleturn.decisions.shards;

/** Assigns destinations to shards, as a function of the id and the number of shards alone. */
public final class ShardPlacement {
  private ShardPlacement() {}

  /** Returns the shard of a destination, from 0; consecutive ids are spread evenly. */
  public static int shardOf(final long destination, final int shards) {
    // The finalizer of SplitMix64 (Steele, Lea, Flood 2014).
    long bits = (destination ^ destination >>> 30) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
    return (int) Math.floorMod(bits ^ bits >>> 31, (long) shards);
  }
}
