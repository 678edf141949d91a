package thistleturn.testkit.rig;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The state of all ways between processes, one for each pair and direction: whether it is cut, what
 * is lost, doubled and late on it. Seeded; asked by the relays' loops and changed by the schedule's
 * thread.
 */
public final class Links {
  private static final long AGAIN_MS = 200;

  private final int[][] cuts;
  private final SplittableRandom random;
  private double loss;
  private double doubled;
  private long jitterMs;
  private long passed;
  private long lost;
  private long held;

  /** Ways among so many, all open. */
  public Links(final int members, final long seed) {
    cuts = new int[members][members];
    random = new SplittableRandom(seed);
  }

  /** A cut begins (1) or ends (-1). */
  public synchronized void addCuts(final List<Integer> from, final List<Integer> to, final int by) {
    for (final int one : from) {
      for (final int other : to) {
        cuts[one][other] += by;
      }
    }
  }

  /** That share is lost from now on. */
  public synchronized void setLoss(final double share) {
    loss = share;
  }

  /** That share comes twice from now on. */
  public synchronized void setDuplication(final double share) {
    doubled = share;
  }

  /** Datagrams are late by up to that from now on, each by lot. */
  public synchronized void setJitter(final long ms) {
    jitterMs = ms;
  }

  /** True while something can pass. */
  public synchronized boolean isOpen(final int from, final int to) {
    final boolean open = cuts[from][to] == 0;
    held += open ? 0 : 1;
    return open;
  }

  /** How often a datagram that comes now arrives: 0, 1 or 2 times. */
  public synchronized int copies(final int from, final int to) {
    if (cuts[from][to] > 0 || random.nextDouble() < loss) {
      lost++;
      return 0;
    }
    passed++;
    return doubled > 0 && random.nextDouble() < doubled ? 2 : 1;
  }

  /** How late a datagram is, ms. */
  public synchronized long delayMs() {
    return jitterMs > 0 ? random.nextLong(jitterMs) : 0;
  }

  /** How late a piece of a connection is, ms: what is lost is sent again after a while. */
  public synchronized long retransmissionDelayMs() {
    long ms = 0;
    while (random.nextDouble() < loss) {
      ms += AGAIN_MS;
    }
    return ms;
  }

  /** What took place so far. */
  public synchronized String summary() {
    return passed + " datagrams passed, " + lost + " lost, " + held + " looks at a cut way";
  }
}
