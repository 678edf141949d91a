package thistleturn.testkit.rig;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The state of all links between processes, one for each pair and direction: cuts, loss,
 * duplication and delay. Seeded; queried by the relays' event loops and changed by the schedule's
 * thread.
 */
public final class Links {
  private static final long RETRANSMIT_MS = 200;

  private final int[][] cuts;
  private final SplittableRandom random;
  private double loss;
  private double duplication;
  private long maxDelayMs;
  private long passed;
  private long lost;
  private long blockedChecks;

  /** Open links among that many processes. */
  public Links(final int members, final long seed) {
    cuts = new int[members][members];
    random = new SplittableRandom(seed);
  }

  /** Begins (1) or ends (-1) a cut. */
  public synchronized void addCuts(final List<Integer> from, final List<Integer> to, final int by) {
    for (final int one : from) {
      for (final int other : to) {
        cuts[one][other] += by;
      }
    }
  }

  /** Sets the share of data that is lost. */
  public synchronized void setLoss(final double share) {
    loss = share;
  }

  /** Sets the share of datagrams that is duplicated. */
  public synchronized void setDuplication(final double share) {
    duplication = share;
  }

  /** Sets the maximum of the random delay of datagrams. */
  public synchronized void setJitter(final long ms) {
    maxDelayMs = ms;
  }

  /** True while the link is not cut. */
  public synchronized boolean isOpen(final int from, final int to) {
    final boolean open = cuts[from][to] == 0;
    blockedChecks += open ? 0 : 1;
    return open;
  }

  /** How many copies of an arriving datagram are forwarded: 0, 1 or 2. */
  public synchronized int copies(final int from, final int to) {
    if (cuts[from][to] > 0 || random.nextDouble() < loss) {
      lost++;
      return 0;
    }
    passed++;
    return duplication > 0 && random.nextDouble() < duplication ? 2 : 1;
  }

  /** The delay of a datagram, ms. */
  public synchronized long delayMs() {
    return maxDelayMs > 0 ? random.nextLong(maxDelayMs) : 0;
  }

  /** The delay of a piece of a connection's data, ms: lost data are retransmitted after a while. */
  public synchronized long retransmissionDelayMs() {
    long ms = 0;
    while (random.nextDouble() < loss) {
      ms += RETRANSMIT_MS;
    }
    return ms;
  }

  /** Describes what passed so far. */
  public synchronized String summary() {
    return passed
        + " datagrams passed, "
        + lost
        + " lost, "
        + blockedChecks
        + " checks of a cut link";
  }
}
