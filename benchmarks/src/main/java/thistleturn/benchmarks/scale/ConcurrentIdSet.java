package thistleturn.benchmarks.scale;

import java.util.BitSet;

/** Thread-safe set of message numbers, striped to reduce contention. */
final class ConcurrentIdSet {
  private static final int STRIPES = 64;

  private final BitSet[] stripes = new BitSet[STRIPES];

  ConcurrentIdSet() {
    for (int index = 0; index < STRIPES; index++) {
      stripes[index] = new BitSet();
    }
  }

  /** Adds a number; returns false if the set already contains it. */
  boolean add(final int number) {
    final BitSet stripe = stripes[number % STRIPES];
    synchronized (stripe) {
      final boolean added = !stripe.get(number / STRIPES);
      stripe.set(number / STRIPES);
      return added;
    }
  }
}
