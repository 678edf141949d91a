package thistleturn.testkit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * A destination that is back from an outage: for a while it bears only a share of its calls. It
 * finds whether it was sent more than it bears. Times are microseconds and only advance.
 */
final class ColdDestination {
  private static final long MS = 1000;
  private static final long SECOND_US = 1_000_000;

  private final RuleChecker.Tolerances figures;
  private final Deque<Long> calls = new ArrayDeque<>();
  private long returnedUs = Long.MAX_VALUE;
  private double callsPerSecond;
  private double coldFrom;
  private long coldUs;

  /** A destination without an outage so far. */
  ColdDestination(final RuleChecker.Tolerances figures) {
    this.figures = figures;
  }

  /**
   * It is back, cold.
   *
   * @param fullCallsPerSecond what it bears once it is warm
   * @param initialShare the share of that which it bears at once
   * @param warmUpUs how long it takes to be warm
   */
  void markReturned(
      final long nowUs,
      final double fullCallsPerSecond,
      final double initialShare,
      final long warmUpUs) {
    returnedUs = nowUs;
    callsPerSecond = fullCallsPerSecond;
    coldFrom = initialShare;
    coldUs = warmUpUs;
    calls.clear();
  }

  /**
   * Notes a call.
   *
   * @return what was sent and what it bears, at the first call that is too many; empty otherwise
   */
  Optional<String> recordCall(final long atUs) {
    if (atUs < returnedUs || atUs > returnedUs + coldUs + figures.overloadWindowUs()) {
      return Optional.empty();
    }
    calls.add(atUs);
    while (calls.peekFirst() < atUs - figures.overloadWindowUs()) {
      calls.pollFirst();
    }
    final double budget = budget(atUs);
    if (calls.size() <= budget + 2 * Math.sqrt(budget) + 1) {
      return Optional.empty();
    }
    returnedUs = Long.MAX_VALUE;
    return Optional.of(
        "was sent "
            + calls.size()
            + " calls in "
            + figures.overloadWindowUs() / MS
            + " ms after its return; it bears "
            + Math.round(budget));
  }

  private double budget(final long atUs) {
    final long fromUs = Math.max(returnedUs, atUs - figures.overloadWindowUs());
    final double meanWarmth = (warmthAt(fromUs) + warmthAt(atUs)) / 2;
    return figures.overloadMultiple()
        * callsPerSecond
        * meanWarmth
        * figures.overloadWindowUs()
        / SECOND_US;
  }

  /** The share of its calls that it bears at a time. */
  private double warmthAt(final long atUs) {
    final double grown = coldUs == 0 ? 1 : Math.min(1, (double) (atUs - returnedUs) / coldUs);
    return coldFrom + (1 - coldFrom) * grown;
  }
}
