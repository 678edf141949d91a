package thistleturn.decisions.shards;

import java.util.Arrays;

/**
 * How one bound (slots for calls, messages held) is divided among shards that cannot see each
 * other, so that together they never use more than the whole. Room moves by need: what a shard does
 * not use is first asked back, and is given to another only once the shard has confirmed that it
 * keeps to less. A shard that says nothing keeps what it may use. A pure state machine: reports
 * come in, limits go out.
 */
public final class CapacityAllocator {
  /**
   * Share of its limit that a shard keeps free above what it uses: a burst comes sooner than the
   * next plan.
   */
  private static final double MARGIN = 0.25;

  /** Share of what can be moved that moves in one plan, so that room does not swing to and fro. */
  private static final double MOVED = 0.5;

  private final int capacity;
  private final int minimumGrant;

  /**
   * What each shard may use for all that is known here; what it was asked to keep to; what it uses.
   */
  private final int[] granted;

  private final int[] limit;
  private final int[] used;
  private final boolean[] pressed;
  private int free;

  /**
   * An even division.
   *
   * @param shards how many share, at least 1
   * @param whole what they may use together, at least {@code shards}
   */
  public CapacityAllocator(final int shards, final int whole) {
    if (shards < 1 || whole < shards) {
      throw new IllegalArgumentException(
          "a whole of at least one for each of " + shards + " shards, not " + whole);
    }
    this.capacity = whole;
    this.minimumGrant = Math.max(1, whole / (shards * 8));
    this.granted = new int[shards];
    this.limit = new int[shards];
    this.used = new int[shards];
    this.pressed = new boolean[shards];
    Arrays.fill(granted, whole / shards);
    Arrays.fill(limit, whole / shards);
    this.free = whole - shards * (whole / shards);
  }

  /** What a shard is asked to keep to. */
  public int limit(final int shard) {
    return limit[shard];
  }

  /**
   * What all shards may use together for all that is known here, and what is given to none: never
   * above the whole.
   */
  public int total() {
    return Arrays.stream(granted).sum() + free;
  }

  /**
   * A shard reports.
   *
   * @param kept the limit that it keeps to from now on, as it was last told
   * @param use what it uses, at most what it was ever granted
   * @param isPressed its limit has held it back since its last report
   */
  public void reportUsage(final int shard, final int kept, final int use, final boolean isPressed) {
    used[shard] = use;
    pressed[shard] = isPressed;
    // It has heard of its limit and uses no more than that any longer: what it gives back is free.
    final int now = Math.max(limit[shard], use);
    if (kept <= limit[shard] && now < granted[shard]) {
      free += granted[shard] - now;
      granted[shard] = now;
    }
  }

  /** Plans anew from the last reports; limits may have changed after this. */
  public void rebalance() {
    final int shards = granted.length;
    int pressedShards = 0;
    for (final boolean one : pressed) {
      pressedShards += one ? 1 : 0;
    }
    if (pressedShards == 0) {
      return;
    }
    final int even = capacity / shards;
    for (int shard = 0; shard < shards; shard++) {
      // One that is pressed gives only what it has above an even part, if all are; the others what
      // they lack use for.
      final int needs =
          pressed[shard]
              ? Math.max(even, minimumGrant)
              : Math.max(minimumGrant, (int) Math.ceil(used[shard] * (1 + MARGIN)) + 1);
      final boolean gives = !pressed[shard] || pressedShards == shards;
      if (gives && granted[shard] > needs && limit[shard] == granted[shard]) {
        limit[shard] = granted[shard] - (int) Math.ceil((granted[shard] - needs) * MOVED);
      }
    }
    give(pressedShards);
  }

  /** What is free goes to those that are pressed, the one that has least first. */
  private void give(final int pressedShards) {
    final int part = Math.max(1, free / pressedShards);
    while (free > 0) {
      int to = -1;
      for (int shard = 0; shard < granted.length; shard++) {
        if (pressed[shard]
            && limit[shard] == granted[shard]
            && (to < 0 || granted[shard] < granted[to])) {
          to = shard;
        }
      }
      if (to < 0) {
        return;
      }
      final int given = Math.min(part, free);
      granted[to] += given;
      limit[to] = granted[to];
      free -= given;
    }
  }
}
