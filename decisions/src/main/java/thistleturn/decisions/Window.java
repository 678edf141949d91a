package thistleturn.decisions;

import thistleturn.decisions.rejections.RejectionClassifier.Cause;

/**
 * The paper's window on a lane's calls in flight (section V): once a second Table I moves it from
 * latency and refusals, within the design's shares of the slots. Pure; it owns no state but each
 * lane's own.
 */
final class Window {
  /** Floor of a window, calls: a lane must always be able to learn. */
  static final double FLOOR = 1;

  /** A new lane's window, calls: one slow answer may not block it. */
  static final double START = 2;

  /**
   * After refusals, sends go at so many times the rate served and so many a second more: room may
   * come.
   */
  static final double SPACING = 1.2;

  private static final double SPACING_LEAST = 0.5;

  /** Least weight of a new sample, or of a step, in a slow average: about ten of memory. */
  static final double SAMPLE_WEIGHT = 0.1;

  /** Shares of the slots that one lane may hold, healthy and sick: the design's. */
  private static final double HEALTHY_SHARE = 0.75;

  private static final double SICK_SHARE = 0.5;

  /** A share, nearer High than Medium: an input above it makes a lane sick for a step. */
  private static final double SLOW_INPUT = 0.75;

  /** Samples at the average, mixed into a step's mean latency: two or three answers say little. */
  private static final double LATENCY_PRIOR = 2;

  /** Share of a window that must be used for it to grow: unused room has proved nothing. */
  private static final double USED_SHARE = 0.5;

  /**
   * Where a long line waits after a second without a refusal, sends may go at so many times the
   * rate.
   */
  private static final double REGAIN = 2;

  /** Refusals under this share of a step's calls would be as many with that spacing. */
  private static final double FEW_REFUSED = 0.05;

  private final State state;

  Window(final State state) {
    this.state = state;
  }

  /**
   * Calls that a lane may have in flight now: its window, within its share of the slots and what
   * others say.
   */
  int cap(final Lane lane) {
    final double window =
        Math.min(lane.window, lane.destination.words.concurrencyLimit(state.nowUs));
    return (int) Math.max(1, Math.min(Math.floor(window), most(lane)));
  }

  /** Calls that a lane may have in flight at all: its share of the slots. */
  int most(final Lane lane) {
    final double share = lane.phase == Phase.WELL && !lane.slow ? HEALTHY_SHARE : SICK_SHARE;
    return (int) Math.max(1, Math.floor(share * state.slots));
  }

  /** What a window can grow to, calls. */
  private double most() {
    return Math.max(1, Math.floor(HEALTHY_SHARE * state.slots));
  }

  /** A call served proves room: a window that held up a line grows by it (RFC 7661). */
  void prove(final Lane lane, final double calls) {
    if (lane.phase == Phase.WELL
        && lane.destination.waiting > 0
        && lane.calls + 1 >= Math.floor(lane.window)) {
      lane.window = Math.min(lane.window + calls, most());
    }
  }

  /** Load that shows in a lane's first seconds takes half of what it grew to. */
  void halve(final Lane lane) {
    lane.window = Math.max(Math.min(lane.window, START), lane.window / 2);
  }

  /** Moves a lane's window by Table I. */
  void step(final Lane lane) {
    lane.share.advance(lane.destination.waiting, state.nowUs);
    final double bad = lane.bad + lane.silent;
    final double read = lane.served + lane.errors + bad;
    if (lane.phase == Phase.WELL) {
      final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++lane.steps);
      lane.rate += weight * (lane.delivered - lane.rate);
      lane.callRate += weight * (lane.served - lane.callRate);
    }
    if (read > 0) {
      double latency = 0;
      if (lane.delivered > 0) {
        final double mean = lane.ratioSum / lane.delivered;
        final double trust = lane.delivered / (lane.delivered + LATENCY_PRIOR);
        latency = Worth.clamp(trust * (mean / lane.slowRatio - 1), 0, 1);
        lane.slowRatio += SAMPLE_WEIGHT * trust * (mean - lane.slowRatio);
      }
      double refusal = bad / read;
      if (lane.allowance != null && lane.allowance.callsPerSecond() > 0) {
        refusal = Math.max(refusal, 1 - lane.allowance.shareLeft());
      }
      final double change = Math.max(bad == 0 ? 0 : -1, TableOne.change(latency, refusal));
      if (change < 0 || lane.peak >= USED_SHARE * Math.floor(lane.window)) {
        lane.window = Worth.clamp(lane.window * (1 + change), FLOOR, most());
      }
      lane.slow = latency > SLOW_INPUT || refusal > SLOW_INPUT;
    }
    final double refusing = SPACING_LEAST + SPACING * Math.max(lane.served, lane.callRate);
    final boolean heeded =
        lane.refused > (state.learns ? FEW_REFUSED * read : 0)
            && lane.reading.cause(state.nowUs) != Cause.NOISE;
    final boolean regains = state.learns && lane.mayRegain(state.nowUs);
    lane.spacing = heeded ? refusing : (regains ? REGAIN : SPACING) * lane.spacing;
    lane.beginStep();
  }
}
