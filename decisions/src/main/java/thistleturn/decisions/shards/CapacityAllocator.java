package thistleturn.decisions.shards;

import java.util.Arrays;

/**
 * Divides a limit (calls in flight, pending messages) among shards that share no state, so that
 * together they never use more than the capacity. Capacity moves on demand: what a shard does not
 * use is first requested back by a lower limit, and is granted to another shard only once the first
 * has confirmed that it applies that limit. A shard that does not report keeps what it was granted.
 *
 * <p>Invariant: the grants of all shards and the free capacity add up to the capacity.
 */
public final class CapacityAllocator {
  /** Spare capacity as a share of usage: a burst can arrive before the next rebalancing. */
  private static final double HEADROOM = 0.25;

  /** Share of the movable capacity that moves in one round, to prevent oscillation. */
  private static final double MOVED_SHARE = 0.5;

  /** The minimum grant of a shard is an even share divided by this. */
  private static final int MIN_GRANT_DIVISOR = 8;

  private final int capacity;
  private final int minimumGrant;

  /** What each shard may still use, as far as it has confirmed a lower limit. */
  private final int[] granted;

  /** The limit assigned to each shard; below its grant while capacity is requested back. */
  private final int[] limit;

  private final int[] used;

  /** Whether each shard's limit restricted it between its last two reports. */
  private final boolean[] restricted;

  private int free;

  /**
   * Creates an even division.
   *
   * @param shards how many shards there are, at least 1
   * @param capacity what they may use together, at least {@code shards}
   */
  public CapacityAllocator(final int shards, final int capacity) {
    if (shards < 1 || capacity < shards) {
      throw new IllegalArgumentException(
          "the capacity must be at least 1 for each of " + shards + " shards, not " + capacity);
    }
    final int evenShare = capacity / shards;
    this.capacity = capacity;
    this.minimumGrant = Math.max(1, capacity / (shards * MIN_GRANT_DIVISOR));
    this.granted = new int[shards];
    this.limit = new int[shards];
    this.used = new int[shards];
    this.restricted = new boolean[shards];
    Arrays.fill(granted, evenShare);
    Arrays.fill(limit, evenShare);
    this.free = capacity - shards * evenShare;
  }

  /** Returns the limit assigned to a shard. */
  public int limit(final int shard) {
    return limit[shard];
  }

  /** Returns the sum of all grants and the free capacity, which always equals the capacity. */
  public int total() {
    return Arrays.stream(granted).sum() + free;
  }

  /**
   * Processes a report of a shard.
   *
   * @param appliedLimit the assigned limit that it applies from now on
   * @param usage what it uses, at most what it was ever granted
   * @param isRestricted true if its limit has restricted it since its last report
   */
  public void reportUsage(
      final int shard, final int appliedLimit, final int usage, final boolean isRestricted) {
    used[shard] = usage;
    restricted[shard] = isRestricted;
    final int needed = Math.max(limit[shard], usage);
    final boolean confirmsLimit = appliedLimit <= limit[shard];
    if (confirmsLimit && needed < granted[shard]) {
      free += granted[shard] - needed;
      granted[shard] = needed;
    }
  }

  /** Moves capacity according to the last reports; limits may have changed after this. */
  public void rebalance() {
    final int restrictedShards = countRestricted();
    if (restrictedShards == 0) {
      return;
    }
    for (int shard = 0; shard < granted.length; shard++) {
      requestBack(shard, restrictedShards);
    }
    grantFree(restrictedShards);
  }

  private int countRestricted() {
    int count = 0;
    for (final boolean isRestricted : restricted) {
      count += isRestricted ? 1 : 0;
    }
    return count;
  }

  /** Lowers the limit of a shard that can give up capacity, unless it was lowered already. */
  private void requestBack(final int shard, final int restrictedShards) {
    final boolean canGive = !restricted[shard] || restrictedShards == granted.length;
    final int needs = needs(shard);
    final boolean isRequested = limit[shard] != granted[shard];
    if (canGive && granted[shard] > needs && !isRequested) {
      limit[shard] = granted[shard] - (int) Math.ceil((granted[shard] - needs) * MOVED_SHARE);
    }
  }

  /**
   * Returns what a shard must keep: its even share if it is restricted, otherwise its usage and
   * headroom.
   */
  private int needs(final int shard) {
    return restricted[shard]
        ? Math.max(capacity / granted.length, minimumGrant)
        : Math.max(minimumGrant, (int) Math.ceil(used[shard] * (1 + HEADROOM)) + 1);
  }

  /** Grants free capacity to the restricted shards in equal portions, smallest grant first. */
  private void grantFree(final int restrictedShards) {
    final int portion = Math.max(1, free / restrictedShards);
    while (free > 0) {
      final int shard = restrictedShardWithLeast();
      if (shard < 0) {
        return;
      }
      final int added = Math.min(portion, free);
      granted[shard] += added;
      limit[shard] = granted[shard];
      free -= added;
    }
  }

  /**
   * Returns the restricted shard with the smallest grant from which no capacity is requested back;
   * -1 if there is none.
   */
  private int restrictedShardWithLeast() {
    int least = -1;
    for (int shard = 0; shard < granted.length; shard++) {
      final boolean receives = restricted[shard] && limit[shard] == granted[shard];
      if (receives && (least < 0 || granted[shard] < granted[least])) {
        least = shard;
      }
    }
    return least;
  }
}
