package thistleturn.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A destination that has an outage and returns cold: its capacity rises linearly from a share to
 * full capacity. If it gets more than a multiple of its present capacity within a window, it
 * collapses and stays down. All senders together may send N + 2 x sqrt(N) + 2 calls in such a
 * window, where N is that multiple of its present capacity and the rest allows for random
 * variation. The figures are those of the rule on returning destinations.
 */
public final class SlowStartModel {
  private final long fromUs;
  private final long toUs;
  private final double perSecond;
  private final double coldFrom;
  private final long coldUs;
  private final double multiple;
  private final long collapseWindowUs;
  private final Deque<Long> arrivals = new ArrayDeque<>();
  private double room = 1;
  private long roomUs;
  private boolean collapsed;
  private double maxBudgetShare;

  /**
   * Creates a destination that is out from {@code fromUs} until {@code toUs} and warm {@code
   * coldUs} later. {@code perSecond} is its full capacity in calls a second.
   */
  public SlowStartModel(
      final long fromUs,
      final long toUs,
      final double perSecond,
      final double coldFrom,
      final long coldUs,
      final double multiple,
      final long collapseWindowUs) {
    this.fromUs = fromUs;
    this.toUs = toUs;
    this.perSecond = perSecond;
    this.coldFrom = coldFrom;
    this.coldUs = coldUs;
    this.multiple = multiple;
    this.collapseWindowUs = collapseWindowUs;
  }

  /** Decides about a call that arrives now: unreachable, rejected or served. */
  public CallFault arrives(final long nowUs) {
    if (collapsed || (nowUs >= fromUs && nowUs < toUs)) {
      return CallFault.UNREACHABLE;
    }
    arrivals.add(nowUs);
    while (arrivals.peekFirst() <= nowUs - collapseWindowUs) {
      arrivals.removeFirst();
    }
    // After the warm-up, excess calls are rejected, but no longer make it collapse.
    if (nowUs >= toUs && nowUs < toUs + coldUs + collapseWindowUs) {
      final double bears = multiple * perSecond * share(nowUs) * collapseWindowUs / Limit.SECOND_US;
      final double budget = bears + 2 * Math.sqrt(bears) + 2;
      maxBudgetShare = Math.max(maxBudgetShare, arrivals.size() / budget);
      if (arrivals.size() > budget) {
        collapsed = true;
        return CallFault.UNREACHABLE;
      }
    }
    // A small queue: calls above the present capacity are rejected.
    room =
        Math.min(
            Math.max(1, perSecond / 4),
            room + capacity(Math.max(nowUs < fromUs ? 0 : toUs, roomUs), nowUs));
    roomUs = nowUs;
    if (room < 1) {
      return CallFault.REFUSE;
    }
    room--;
    return CallFault.SERVE;
  }

  /** Calls that it can serve between two times after its return. */
  private double capacity(final long sinceUs, final long untilUs) {
    return perSecond
        * (share(sinceUs) + share(untilUs))
        / 2
        * (untilUs - sinceUs)
        / Limit.SECOND_US;
  }

  private double share(final long atUs) {
    return atUs < fromUs
        ? 1
        : coldFrom + (1 - coldFrom) * Math.min(1, Math.max(0, atUs - toUs) / (double) coldUs);
  }

  /** The highest number of calls in a window after its return, as a share of what it could bear. */
  public double maxBudgetShare() {
    return maxBudgetShare;
  }

  /** True if it has collapsed. */
  public boolean hasCollapsed() {
    return collapsed;
  }
}
