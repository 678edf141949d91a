package thistleturn.testkit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Ends that were seen after their messages' time, and the spans in which the judge did not look, or
 * the courier was stopped: how much of a delay is the courier's is found at the end. Times are
 * microseconds. The rule checker owns it and guards it.
 */
final class LateEnds {
  private final long graceUs;
  private final List<LateEnd> ends = new ArrayList<>();
  private final List<Span> excused = new ArrayList<>();

  /** Ends may be seen so long after their message's time. */
  LateEnds(final long graceUs) {
    this.graceUs = graceUs;
  }

  /** An end that was seen at a moment, after its message's time. */
  private record LateEnd(String message, long timeUpUs, long seenUs) {}

  private record Span(long fromUs, long toUs) {}

  /** A message's end was seen late. */
  void record(final String message, final long timeUpUs, final long seenUs) {
    ends.add(new LateEnd(message, timeUpUs, seenUs));
  }

  /** What fell into this span was late by nobody's fault. It counts by as much, and no more. */
  void excuse(final long fromUs, final long toUs) {
    excused.add(new Span(fromUs, toUs));
  }

  /** Returns the violations among the ends recorded so far, and forgets these. */
  List<Violation> takeViolations() {
    final List<Violation> violations =
        ends.stream().filter(end -> lateUs(end) > 0).map(this::toViolation).toList();
    ends.clear();
    return violations;
  }

  private Violation toViolation(final LateEnd end) {
    return new Violation(
        Violation.Rule.LOST,
        end.seenUs(),
        end.message()
            + " ended "
            + (end.seenUs() - end.timeUpUs()) / RuleChecker.MS
            + " ms after its time, "
            + lateUs(end) / RuleChecker.MS
            + " ms of it too late by the courier");
  }

  private long lateUs(final LateEnd end) {
    long lateUs = end.seenUs() - end.timeUpUs() - graceUs;
    long untilUs = end.timeUpUs();
    // Spans may overlap.
    for (final Span span :
        excused.stream().sorted(Comparator.comparingLong(Span::fromUs)).toList()) {
      lateUs -= Math.max(0, Math.min(end.seenUs(), span.toUs()) - Math.max(untilUs, span.fromUs()));
      untilUs = Math.max(untilUs, span.toUs());
    }
    return lateUs;
  }
}
