package thistleturn.decisions.index;

import java.util.function.ToDoubleFunction;

/**
 * A queue whose members have a key and a sequence number. In logarithmic time it finds the first
 * and the last member of a range of keys, and the one with the lowest sequence number. It is a
 * treap (Seidel and Aragon 1996) ordered by key, then sequence number, in which each node refers to
 * the node with the lowest sequence number of its subtree. The heap priorities are hashes of the
 * sequence numbers, so that equal queues have equal tree shapes.
 *
 * @param <E> the type of the members; a member is in at most one queue at a time
 */
public final class OrderedQueue<E extends OrderedQueue.Entry> {
  /** Candidates in each interval of keys: the first member, the last, and the earliest. */
  private static final int CANDIDATES_PER_INTERVAL = 3;

  private Entry root;
  private int size;

  /** A member, which is its own node of the tree. */
  public abstract static class Entry {
    private long key;
    private long sequence;
    private long priority;
    private Entry left;
    private Entry right;

    /** The node with the lowest sequence number of this subtree. */
    private Entry earliest;

    final long key() {
      return key;
    }

    final long sequence() {
      return sequence;
    }

    private boolean isBefore(final Entry other) {
      return key < other.key || (key == other.key && sequence < other.sequence);
    }
  }

  /** Adds a member; keys may repeat, sequence numbers may not. */
  public void add(final E entry, final long key, final long sequence) {
    final Entry added = entry;
    added.key = key;
    added.sequence = sequence;
    added.priority = priorityOf(sequence);
    added.left = null;
    added.right = null;
    added.earliest = added;
    root = insert(root, added);
    size++;
  }

  /** Removes a member. */
  public void remove(final E entry) {
    root = delete(root, entry);
    size--;
  }

  /** Returns the number of members. */
  public int size() {
    return size;
  }

  /**
   * Returns the member with the least key of at least {@code fromKey}, the earliest one among
   * equals; null if there is none.
   */
  @SuppressWarnings("unchecked")
  public E firstAtOrAbove(final long fromKey) {
    Entry first = null;
    Entry node = root;
    while (node != null) {
      if (node.key >= fromKey) {
        first = node;
        node = node.left;
      } else {
        node = node.right;
      }
    }
    return (E) first;
  }

  /**
   * Returns the member with the greatest key below {@code belowKey}, the earliest one among equals;
   * null if there is none.
   */
  public E lastBelow(final long belowKey) {
    Entry last = null;
    Entry node = root;
    while (node != null) {
      if (node.key < belowKey) {
        last = node;
        node = node.right;
      } else {
        node = node.left;
      }
    }
    return last == null ? null : firstAtOrAbove(last.key);
  }

  /**
   * Returns the member with {@code fromKey <= key < belowKey} that has the lowest sequence number;
   * null if there is none.
   */
  @SuppressWarnings("unchecked")
  public E earliest(final long fromKey, final long belowKey) {
    return (E) earliest(root, fromKey, belowKey);
  }

  /**
   * Returns the member with the greatest value, the earliest one among equals. The value must be a
   * function of the key that is monotonic before the first of the {@code breakpoints}, between each
   * two neighbouring ones and after the last. The greatest value of an interval is therefore that
   * of its first or last member, or, where the value is constant, of its earliest.
   *
   * @param breakpoints keys in ascending order
   * @return null if there is no member
   */
  public E greatest(final long[] breakpoints, final ToDoubleFunction<E> value) {
    E best = firstAtOrAbove(Long.MIN_VALUE);
    if (size <= 1) {
      return best;
    }
    double bestValue = value.applyAsDouble(best);
    E first = best;
    for (int interval = 0; interval <= breakpoints.length && first != null; interval++) {
      final boolean isLast = interval == breakpoints.length;
      final long belowKey = isLast ? Long.MAX_VALUE : breakpoints[interval];
      if (first.key() >= belowKey) {
        continue;
      }
      for (int index = 0; index < CANDIDATES_PER_INTERVAL; index++) {
        final E candidate = candidate(index, first, belowKey);
        final double candidateValue =
            candidate == best ? bestValue : value.applyAsDouble(candidate);
        final boolean isEarlier = candidate.sequence() < best.sequence();
        if (candidateValue > bestValue || (candidateValue == bestValue && isEarlier)) {
          best = candidate;
          bestValue = candidateValue;
        }
      }
      first = isLast ? null : firstAtOrAbove(belowKey);
    }
    return best;
  }

  /** Returns one of the members of an interval that can have its greatest value. */
  private E candidate(final int index, final E first, final long belowKey) {
    return switch (index) {
      case 0 -> first;
      case 1 -> lastBelow(belowKey);
      default -> earliest(first.key(), belowKey);
    };
  }

  private static Entry earliest(final Entry root, final long fromKey, final long belowKey) {
    final Entry fork = fork(root, fromKey, belowKey);
    if (fork == null) {
      return null;
    }
    Entry best = fork;
    // All keys left of the fork are below the upper bound, all keys right of it above the lower
    // one.
    for (Entry node = fork.left; node != null; ) {
      if (node.key >= fromKey) {
        best = earlier(best, earlierWithSubtree(node, node.right));
        node = node.left;
      } else {
        node = node.right;
      }
    }
    for (Entry node = fork.right; node != null; ) {
      if (node.key < belowKey) {
        best = earlier(best, earlierWithSubtree(node, node.left));
        node = node.right;
      } else {
        node = node.left;
      }
    }
    return best;
  }

  /** Returns the topmost node in a range of keys; null if the range has no member. */
  private static Entry fork(final Entry root, final long fromKey, final long belowKey) {
    Entry node = root;
    while (node != null && (node.key < fromKey || node.key >= belowKey)) {
      node = node.key < fromKey ? node.right : node.left;
    }
    return node;
  }

  private static Entry earlierWithSubtree(final Entry node, final Entry subtree) {
    return subtree == null ? node : earlier(node, subtree.earliest);
  }

  private static Entry earlier(final Entry one, final Entry other) {
    return one.sequence <= other.sequence ? one : other;
  }

  private static Entry insert(final Entry root, final Entry entry) {
    if (root == null) {
      return entry;
    }
    if (entry.priority > root.priority) {
      split(root, entry);
      return update(entry);
    }
    if (entry.isBefore(root)) {
      root.left = insert(root.left, entry);
    } else {
      root.right = insert(root.right, entry);
    }
    return update(root);
  }

  /** Splits a subtree at an entry, and makes the two parts the children of that entry. */
  private static void split(final Entry root, final Entry at) {
    if (root == null) {
      at.left = null;
      at.right = null;
    } else if (root.isBefore(at)) {
      split(root.right, at);
      root.right = at.left;
      at.left = update(root);
    } else {
      split(root.left, at);
      root.left = at.right;
      at.right = update(root);
    }
  }

  private static Entry delete(final Entry root, final Entry entry) {
    if (root == null) {
      throw new IllegalArgumentException("not a member of this queue");
    }
    if (root == entry) {
      return merge(root.left, root.right);
    }
    if (entry.isBefore(root)) {
      root.left = delete(root.left, entry);
    } else {
      root.right = delete(root.right, entry);
    }
    return update(root);
  }

  /** Merges two subtrees of which all members of the first are before those of the second. */
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

  /** Recomputes the earliest node of a subtree from those of its children. */
  private static Entry update(final Entry node) {
    node.earliest = earlierWithSubtree(earlierWithSubtree(node, node.left), node.right);
    return node;
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014), which scatters consecutive numbers. */
  private static long priorityOf(final long sequence) {
    long bits = (sequence + 1) * 0x9E3779B97F4A7C15L;
    bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
    return bits ^ bits >>> 31;
  }
}
