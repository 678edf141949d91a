package thistleturn.decisions.index;

import java.util.function.ToDoubleFunction;

/**
 * A line whose members have a key and a place in the order they came in. It finds, at the cost of a
 * logarithm, the first and the last member of a range of keys, and the one of a range that came
 * first: a treap (Seidel and Aragon 1996) by key, then place, in which each member knows the
 * earliest place below it. Its shape comes from a hash of the places, so that equal lines have
 * equal shapes.
 *
 * @param <E> the members; a member is in one line at a time
 */
public final class OrderedQueue<E extends OrderedQueue.Entry> {
  /** In each stretch: its first, its last, and the one that came first. */
  private static final int CANDIDATES = 3;

  private Entry root;
  private int size;

  /** A member. */
  public abstract static class Entry {
    private long key;
    private long sequence;
    private long priority;
    private Entry left;
    private Entry right;

    /** Of this member and those below it, the one that came first. */
    private Entry earliest;

    final long key() {
      return key;
    }

    final long sequence() {
      return sequence;
    }
  }

  /** Adds a member; keys may repeat, places may not. */
  public void add(final E entry, final long key, final long place) {
    final Entry given = entry;
    given.key = key;
    given.sequence = place;
    given.priority = priorityOf(place);
    given.left = null;
    given.right = null;
    given.earliest = given;
    root = insert(root, given);
    size++;
  }

  /** Takes a member out. */
  public void remove(final E entry) {
    root = delete(root, entry);
    size--;
  }

  /** How many members there are. */
  public int size() {
    return size;
  }

  /**
   * The member with the least key of at least this, the one that came first among equals; null if
   * none.
   */
  @SuppressWarnings("unchecked")
  public E firstAtOrAbove(final long fromKey) {
    Entry best = null;
    Entry at = root;
    while (at != null) {
      if (at.key >= fromKey) {
        best = at;
        at = at.left;
      } else {
        at = at.right;
      }
    }
    return (E) best;
  }

  /**
   * The member with the greatest key below this, the one that came first among equals; null if
   * none.
   */
  public E lastBelow(final long belowKey) {
    Entry best = null;
    Entry at = root;
    while (at != null) {
      if (at.key < belowKey) {
        best = at;
        at = at.right;
      } else {
        at = at.left;
      }
    }
    return best == null ? null : firstAtOrAbove(best.key);
  }

  /**
   * Of the members with {@code fromKey <= key < belowKey}, the one that came first; null if none.
   */
  @SuppressWarnings("unchecked")
  public E earliest(final long fromKey, final long belowKey) {
    return (E) earliest(root, fromKey, belowKey);
  }

  /**
   * The member of greatest value, the one that came first among equals, where the value of members
   * follows from their keys and only rises, only falls or stays the same from each of {@code turns}
   * (ascending) to the next, and before and after them: so it is the first or the last of such a
   * stretch, or the one that came first in it. Only stretches with members are looked at. Null if
   * there is no member.
   */
  public E greatest(final long[] turns, final ToDoubleFunction<E> value) {
    E best = firstAtOrAbove(Long.MIN_VALUE);
    if (size <= 1) {
      return best;
    }
    double most = value.applyAsDouble(best);
    E first = best;
    for (int turn = 0; first != null; turn++) {
      final long belowKey = turn < turns.length ? turns[turn] : Long.MAX_VALUE;
      if (first.key() >= belowKey) {
        continue;
      }
      for (int which = 0; which < CANDIDATES; which++) {
        final E one =
            which == 0 ? first : which == 1 ? lastBelow(belowKey) : earliest(first.key(), belowKey);
        final double its = one == best ? most : value.applyAsDouble(one);
        if (its > most || (its == most && one.sequence() < best.sequence())) {
          best = one;
          most = its;
        }
      }
      first = turn < turns.length ? firstAtOrAbove(belowKey) : null;
    }
    return best;
  }

  private static Entry earliest(final Entry from, final long fromKey, final long belowKey) {
    Entry at = from;
    while (at != null && (at.key < fromKey || at.key >= belowKey)) {
      at = at.key < fromKey ? at.right : at.left;
    }
    if (at == null) {
      return null;
    }
    Entry best = at;
    // Left of the fork all that is above the lower bound counts, right of it all that is below the
    // upper one.
    for (Entry low = at.left; low != null; ) {
      if (low.key >= fromKey) {
        best = earlier(best, earlier(low, low.right == null ? null : low.right.earliest));
        low = low.left;
      } else {
        low = low.right;
      }
    }
    for (Entry high = at.right; high != null; ) {
      if (high.key < belowKey) {
        best = earlier(best, earlier(high, high.left == null ? null : high.left.earliest));
        high = high.right;
      } else {
        high = high.left;
      }
    }
    return best;
  }

  private static Entry earlier(final Entry one, final Entry other) {
    return other == null || one.sequence <= other.sequence ? one : other;
  }

  private static boolean isBefore(final Entry one, final Entry other) {
    return one.key < other.key || (one.key == other.key && one.sequence < other.sequence);
  }

  private static Entry insert(final Entry at, final Entry entry) {
    if (at == null) {
      return entry;
    }
    if (entry.priority > at.priority) {
      split(at, entry);
      return update(entry);
    }
    if (isBefore(entry, at)) {
      at.left = insert(at.left, entry);
    } else {
      at.right = insert(at.right, entry);
    }
    return update(at);
  }

  /** Hangs what is below {@code at} under {@code by}, on the two sides of it. */
  private static void split(final Entry at, final Entry by) {
    if (at == null) {
      by.left = null;
      by.right = null;
    } else if (isBefore(at, by)) {
      split(at.right, by);
      at.right = by.left;
      by.left = update(at);
    } else {
      split(at.left, by);
      at.left = by.right;
      by.right = update(at);
    }
  }

  private static Entry delete(final Entry at, final Entry entry) {
    if (at == null) {
      throw new IllegalArgumentException("not a member of this line");
    }
    if (at == entry) {
      return merge(at.left, at.right);
    }
    if (isBefore(entry, at)) {
      at.left = delete(at.left, entry);
    } else {
      at.right = delete(at.right, entry);
    }
    return update(at);
  }

  private static Entry merge(final Entry low, final Entry high) {
    if (low == null || high == null) {
      return low == null ? high : low;
    }
    if (low.priority > high.priority) {
      low.right = merge(low.right, high);
      return update(low);
    }
    high.left = merge(low, high.left);
    return update(high);
  }

  private static Entry update(final Entry at) {
    Entry earliest = at.left == null ? at : earlier(at, at.left.earliest);
    earliest = at.right == null ? earliest : earlier(earliest, at.right.earliest);
    at.earliest = earliest;
    return at;
  }

  /**
   * The finalizer of SplitMix64 (Steele, Lea, Flood 2014): places in a row get weights that look
   * drawn.
   */
  private static long priorityOf(final long place) {
    long bits = (place + 1) * 0x9E3779B97F4A7C15L;
    bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
    return bits ^ bits >>> 31;
  }
}
