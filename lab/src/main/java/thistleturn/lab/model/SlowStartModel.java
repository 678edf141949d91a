package thistleturn.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A partner that is out for a while and comes back cold: its capacity rises evenly from a share to
 * the whole. Sent more than a multiple of what it can do at that moment, over a span of time, it
 * falls over and stays down. What all senders together may send in such a span is N, that multiple
 * of its present capacity, and 2 x root of N + 2 for chance. The figures are those of the rule on
 * returning destinations.
 */
public final class SlowStartModel {
  private final long fromUs;
  private final long toUs;
  private final double perSecond;
  private final double coldFrom;
  private final long coldUs;
  private final double multiple;
  private final long fallUs;
  private final Deque<Long> arrivals = new ArrayDeque<>();
  private double room = 1;
  private long roomUs;
  private boolean fallen;
  private double mostOfBudget;

  /**
   * Out between two moments; then warm within {@code coldUs}. {@code perSecond}: its whole
   * capacity, calls.
   */
  public SlowStartModel(
      final long fromUs,
      final long toUs,
      final double perSecond,
      final double coldFrom,
      final long coldUs,
      final double multiple,
      final long fallUs) {
    this.fromUs = fromUs;
    this.toUs = toUs;
    this.perSecond = perSecond;
    this.coldFrom = coldFrom;
    this.coldUs = coldUs;
    this.multiple = multiple;
    this.fallUs = fallUs;
  }

  /** What becomes of a call that comes now: nothing to connect to, no room, or it may be served. */
  public CallFault arrives(final long nowUs) {
    if (fallen || (nowUs >= fromUs && nowUs < toUs)) {
      return CallFault.UNREACHABLE;
    }
    arrivals.add(nowUs);
    while (arrivals.peekFirst() <= nowUs - fallUs) {
      arrivals.removeFirst();
    }
    // Once it is warm, more than it can do is refused, and no more than that.
    if (nowUs >= toUs && nowUs < toUs + coldUs + fallUs) {
      final double bears = multiple * perSecond * share(nowUs) * fallUs / Limit.SECOND_US;
      final double budget = bears + 2 * Math.sqrt(bears) + 2;
      mostOfBudget = Math.max(mostOfBudget, arrivals.size() / budget);
      if (arrivals.size() > budget) {
        fallen = true;
        return CallFault.UNREACHABLE;
      }
    }
    // A small queue: what is over the present capacity is refused.
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

  /** Calls that it can do between two moments after its return. */
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

  /** The most that was sent in a span after its return, as a share of what it bore then. */
  public double mostOfBudget() {
    return mostOfBudget;
  }

  /** True if it was pushed over. */
  public boolean isFallen() {
    return fallen;
  }
}
