package thistleturn.decisions.shards;

import java.util.Arrays;

/**
 * Divides a limit (calls in flight, pending messages) among shards that cannot see each other, so
 * that together they never use more than the capacity. Capacity moves by need: what a shard does
 * not use is first requested back by a lower limit, and is granted to another shard only once the
 * first has confirmed that it keeps to that limit. A shard that does not report keeps what it was
 * granted.
 *
 * <p>Invariant: what is granted to all shards and what is free add up to the capacity.
 */
public final class CapacityAllocator {
  /** Share of its usage that a shard keeps free: a burst comes sooner than the next rebalancing. */
  private static final double HEADROOM = 0.25;

  /** Share of the movable capacity that moves at once, so that it does not oscillate. */
  private static final double MOVED_SHARE = 0.5;

  /** A shard keeps at least an even share divided by this. */
  private static final int MIN_GRANT_DIVISOR = 8;

  private final int capacity;
  private final int minimumGrant;

  /** What each shard may use for all that is known here. */
  private final int[] granted;

  /** What each shard is told to keep to; below its grant while capacity is requested back. */
  private final int[] limit;

  private final int[] used;

  /** Whether a shard's limit has restricted it since its last report but one. */
  private final boolean[] pressed;

  private int free;

  /**
   * An even division.
   *
   * @param shards how many shards there are, at least 1
   * @param capacity what they may use together, at least {@code shards}
   */
  public CapacityAllocator(final int shards, final int capacity) {
    if (shards < 1 || capacity < shards) {
      throw new IllegalArgumentException(
          "a capacity of at least one for each of " + shards + " shards, not " + capacity);
    }
    final int evenShare = capacity / shards;
    this.capacity = capacity;
    this.minimumGrant = Math.max(1, capacity / (shards * MIN_GRANT_DIVISOR));
    this.granted = new int[shards];
    this.limit = new int[shards];
    this.used = new int[shards];
    this.pressed = new boolean[shards];
    Arrays.fill(granted, evenShare);
    Arrays.fill(limit, evenShare);
    this.free = capacity - shards * evenShare;
  }

  /** What a shard is told to keep to. */
  public int limit(final int shard) {
    return limit[shard];
  }

  /** What all shards may use together and what is free, which always is the capacity. */
  public int total() {
    return Arrays.stream(granted).sum() + free;
  }

  /**
   * A shard reports.
   *
   * @param keptLimit the limit that it keeps to from now on, as it was last told
   * @param usage what it uses, at most what it was ever granted
   * @param isPressed true if its limit has restricted it since its last report
   */
  public void reportUsage(
      final int shard, final int keptLimit, final int usage, final boolean isPressed) {
    used[shard] = usage;
    pressed[shard] = isPressed;
    final int needed = Math.max(limit[shard], usage);
    final boolean confirmsLimit = keptLimit <= limit[shard];
    if (confirmsLimit && needed < granted[shard]) {
      free += granted[shard] - needed;
      granted[shard] = needed;
    }
  }

  /** Moves capacity by the last reports; limits may have changed after this. */
  public void rebalance() {
    final int pressedShards = countPressed();
    if (pressedShards == 0) {
      return;
    }
    for (int shard = 0; shard < granted.length; shard++) {
      requestBack(shard, pressedShards);
    }
    grantFree(pressedShards);
  }

  private int countPressed() {
    int count = 0;
    for (final boolean isPressed : pressed) {
      count += isPressed ? 1 : 0;
    }
    return count;
  }

  /** Lowers the limit of a shard that can give capacity, unless it was lowered already. */
  private void requestBack(final int shard, final int pressedShards) {
    final boolean gives = !pressed[shard] || pressedShards == granted.length;
    final int needs = needs(shard);
    final boolean isRequested = limit[shard] != granted[shard];
    if (gives && granted[shard] > needs && !isRequested) {
      limit[shard] = granted[shard] - (int) Math.ceil((granted[shard] - needs) * MOVED_SHARE);
    }
  }

  /** What a shard must keep: a pressed one its even share, any other what it uses and headroom. */
  private int needs(final int shard) {
    return pressed[shard]
        ? Math.max(capacity / granted.length, minimumGrant)
        : Math.max(minimumGrant, (int) Math.ceil(used[shard] * (1 + HEADROOM)) + 1);
  }

  /** Grants what is free to the pressed shards, in equal parts, the one with the least first. */
  private void grantFree(final int pressedShards) {
    final int part = Math.max(1, free / pressedShards);
    while (free > 0) {
      final int shard = pressedShardWithLeast();
      if (shard < 0) {
        return;
      }
      final int given = Math.min(part, free);
      granted[shard] += given;
      limit[shard] = granted[shard];
      free -= given;
    }
  }

  /** The pressed shard with the smallest grant from which nothing is requested back; -1 if none. */
  private int pressedShardWithLeast() {
    int least = -1;
    for (int shard = 0; shard < granted.length; shard++) {
      final boolean receives = pressed[shard] && limit[shard] == granted[shard];
      if (receives && (least < 0 || granted[shard] < granted[least])) {
        least = shard;
      }
    }
    return least;
  }
}
