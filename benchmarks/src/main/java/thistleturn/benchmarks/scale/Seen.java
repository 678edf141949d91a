package thistleturn.benchmarks.scale;

import java.util.BitSet;

/** Which numbers there have been, from any thread. */
final class Seen {
  private static final int STRIPES = 64;

  private final BitSet[] stripes = new BitSet[STRIPES];

  Seen() {
    for (int index = 0; index < STRIPES; index++) {
      stripes[index] = new BitSet();
    }
  }

  /** False if it was there already. */
  boolean add(final int number) {
    final BitSet stripe = stripes[number % STRIPES];
    synchronized (stripe) {
      final boolean fresh = !stripe.get(number / STRIPES);
      stripe.set(number / STRIPES);
      return fresh;
    }
  }
}
