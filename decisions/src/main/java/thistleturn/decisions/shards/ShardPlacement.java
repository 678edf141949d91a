package thistleturn.decisions.shards;

/** Assigns destinations to shards. The assignment depends on the number of shards alone. */
public final class ShardPlacement {
  private ShardPlacement() {}

  /** The shard of a destination, from 0 on; consecutive numbers are spread like any others. */
  public static int shardOf(final long destination, final int shards) {
    // The finalizer of SplitMix64 (Steele, Lea, Flood 2014).
    long bits = (destination ^ destination >>> 30) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
    return (int) Math.floorMod(bits ^ bits >>> 31, (long) shards);
  }
}
