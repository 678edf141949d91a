package thistleturn.testkit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Final outcomes that were observed after their message's deadline, and the spans in which the rule
 * checker didn't observe or the courier was paused. How much of a delay is the courier's is
 * computed at the end. Times are microseconds. The rule checker owns it and serializes access to
 * it.
 */
final class LateOutcomes {
  private final long graceUs;
  private final List<LateOutcome> outcomes = new ArrayList<>();
  private final List<Span> excused = new ArrayList<>();

  /** Accepts outcomes up to this long after their message's deadline. */
  LateOutcomes(final long graceUs) {
    this.graceUs = graceUs;
  }

  /** An outcome that was observed after its message's deadline. */
  private record LateOutcome(String message, long deadlineUs, long seenUs) {}

  private record Span(long fromUs, long toUs) {}

  /** Records a message's late outcome. */
  void record(final String message, final long deadlineUs, final long seenUs) {
    outcomes.add(new LateOutcome(message, deadlineUs, seenUs));
  }

  /** Subtracts the part of each delay that falls into this span, and no more. */
  void excuse(final long fromUs, final long toUs) {
    excused.add(new Span(fromUs, toUs));
  }

  /** Returns the violations among the outcomes recorded so far, and clears these. */
  List<Violation> takeViolations() {
    final List<Violation> violations =
        outcomes.stream().filter(outcome -> lateUs(outcome) > 0).map(this::toViolation).toList();
    outcomes.clear();
    return violations;
  }

  private Violation toViolation(final LateOutcome outcome) {
    return new Violation(
        Violation.Rule.LOST,
        outcome.seenUs(),
        outcome.message()
            + " ended "
            + (outcome.seenUs() - outcome.deadlineUs()) / RuleChecker.MS
            + " ms after its deadline, "
            + lateUs(outcome) / RuleChecker.MS
            + " ms of it beyond what is excused");
  }

  private long lateUs(final LateOutcome outcome) {
    long lateUs = outcome.seenUs() - outcome.deadlineUs() - graceUs;
    long untilUs = outcome.deadlineUs();
    // Spans may overlap.
    for (final Span span :
        excused.stream().sorted(Comparator.comparingLong(Span::fromUs)).toList()) {
      lateUs -=
          Math.max(0, Math.min(outcome.seenUs(), span.toUs()) - Math.max(untilUs, span.fromUs()));
      untilUs = Math.max(untilUs, span.toUs());
    }
    return lateUs;
  }
}
