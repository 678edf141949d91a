package thistleturn.testkit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * A destination that recovers from an outage: for a while it tolerates only a share of its normal
 * rate. Detects that it was sent more than that. Times are microseconds and only advance.
 */
final class ColdDestination {
  private static final long MS = 1000;
  private static final long SECOND_US = 1_000_000;

  private final RuleChecker.Tolerances tolerances;
  private final Deque<Long> calls = new ArrayDeque<>();
  private long recoveredUs = Long.MAX_VALUE;
  private double callsPerSecond;
  private double shareAtRecovery;
  private long warmUpDurationUs;

  /** Starts without an outage. */
  ColdDestination(final RuleChecker.Tolerances tolerances) {
    this.tolerances = tolerances;
  }

  /**
   * The destination is back, and warms up from now on.
   *
   * @param fullCallsPerSecond what it tolerates once it is warm
   * @param initialShare the share of that which it tolerates at first
   * @param warmUpUs how long the warm-up takes
   */
  void markRecovered(
      final long nowUs,
      final double fullCallsPerSecond,
      final double initialShare,
      final long warmUpUs) {
    recoveredUs = nowUs;
    callsPerSecond = fullCallsPerSecond;
    shareAtRecovery = initialShare;
    warmUpDurationUs = warmUpUs;
    calls.clear();
  }

  /**
   * Records a call.
   *
   * @return what was sent and what it tolerates, at the first call that is too many; empty
   *     otherwise
   */
  Optional<String> recordCall(final long atUs) {
    if (atUs < recoveredUs
        || atUs > recoveredUs + warmUpDurationUs + tolerances.overloadWindowUs()) {
      return Optional.empty();
    }
    calls.add(atUs);
    while (calls.peekFirst() < atUs - tolerances.overloadWindowUs()) {
      calls.pollFirst();
    }
    final double allowed = allowedCalls(atUs);
    if (calls.size() <= allowed + 2 * Math.sqrt(allowed) + 1) {
      return Optional.empty();
    }
    recoveredUs = Long.MAX_VALUE;
    return Optional.of(
        "was sent "
            + calls.size()
            + " calls in "
            + tolerances.overloadWindowUs() / MS
            + " ms after its recovery; it tolerates "
            + Math.round(allowed));
  }

  private double allowedCalls(final long atUs) {
    final long fromUs = Math.max(recoveredUs, atUs - tolerances.overloadWindowUs());
    final double meanWarmth = (warmthAt(fromUs) + warmthAt(atUs)) / 2;
    return tolerances.overloadMultiple()
        * callsPerSecond
        * meanWarmth
        * tolerances.overloadWindowUs()
        / SECOND_US;
  }

  /** The share of its normal rate that it tolerates at a time. */
  private double warmthAt(final long atUs) {
    final double progress =
        warmUpDurationUs == 0 ? 1 : Math.min(1, (double) (atUs - recoveredUs) / warmUpDurationUs);
    return shareAtRecovery + (1 - shareAtRecovery) * progress;
  }
}
