package thistleturn.decisions;

import thistleturn.decisions.Courier.Effect;

/**
 * Which message goes next, over all lanes and within one; and which is worth least when room must
 * be made.
 */
final class Picks {
  /**
   * Chance that a message put off is served after all, in a short line; half of it in a long one.
   */
  private static final double KEPT = 0.9;

  private final State state;
  private final Gate gate;
  private final Choice choice;
  private final Attempts attempts;
  private final Worth worth;

  /**
   * {@code lookUs}: the time that is given to a look at what time alone has changed, us; 0: all,
   * always.
   */
  Picks(
      final State state,
      final Gate gate,
      final Choice choice,
      final Attempts attempts,
      final long lookUs) {
    this.state = state;
    this.gate = gate;
    this.choice = choice;
    this.attempts = attempts;
    this.worth = new Worth(state.settings);
    state.rank(this::urgency, this::leastWorth, lookUs);
  }

  /** Of a lane that may send, how urgent the message to go is among those of other lanes. */
  private double urgency(final Ready entry) {
    final Lane lane = entry.lane;
    if (lane.destination.waiting == 0) {
      state.looks.remove(lane.look);
      return Double.NEGATIVE_INFINITY;
    }
    lane.destination.catchUp(state.steps);
    state.looks.schedule(lane.look, gate.lookUs(lane));
    entry.picked = gate.openAtUs(lane) <= state.nowUs ? pick(lane.destination, lane, null) : null;
    if (entry.picked == null) {
      return Double.NEGATIVE_INFINITY;
    }
    final int kind = entry.picked.message.messageClass();
    final double urgency = urgency(entry.picked, doneUs(lane, kind), lane.destination.horizonUs());
    // Where not all can be served, slots go where they serve most.
    return entry.mode == 0 ? urgency : urgency / state.times.notedUs(lane, kind);
  }

  /**
   * The most urgent message for a lane (a node, if given); trials risk first what is lost anyway.
   */
  Job pick(final Destination destination, final Lane lane, final Node node) {
    Job best = null;
    int bestRisk = 0;
    double bestUrgency = 0;
    final long horizonUs = destination.horizonUs();
    for (final Group group : destination.groups) {
      final int risk =
          lane.phase != Phase.OUT || group.mayHaveRun ? 0 : 1 + group.effect().ordinal();
      if (group.blocked
          || (best != null && risk > bestRisk)
          || !attempts.endsInTime(lane, group)
          || (node == null && choice.choose(lane, group, null) == null)
          || (node != null && (!group.zoneAllows(node) || group.effect() == Effect.UNSAFE))) {
        continue;
      }
      final long doneUs = doneUs(lane, group.kind);
      final Job job =
          group.greatest(
              worth.turns(group, doneUs, horizonUs), one -> urgency(one, doneUs, horizonUs));
      final double urgency = urgency(job, doneUs, horizonUs);
      if (best == null
          || risk < bestRisk
          || urgency > bestUrgency
          || (urgency == bestUrgency && job.place < best.place)) {
        best = job;
        bestRisk = risk;
        bestUrgency = urgency;
      }
    }
    return best;
  }

  /** What a message loses by waiting for as long as its destination's line takes. */
  private double urgency(final Job job, final long doneUs, final long horizonUs) {
    final double kept = KEPT / (1 + (double) horizonUs / Destination.HORIZON_MOST_US);
    return worth.at(job, doneUs) - kept * worth.at(job, doneUs + horizonUs);
  }

  /** When a message would be done if it went now, with the class's time as it was last noted. */
  private long doneUs(final Lane lane, final int kind) {
    return state.nowUs + (long) state.times.notedUs(lane, kind);
  }

  /**
   * Of a line, the worth (below nothing) of the message that is worth least when its turn comes.
   */
  private double leastWorth(final Destination destination) {
    destination.catchUp(state.steps);
    destination.least = null;
    double least = Double.POSITIVE_INFINITY;
    final long atUs = state.nowUs + destination.lineUs();
    for (final Group group : destination.groups) {
      if (!group.mayRefuse()) {
        continue;
      }
      final Job job =
          group.greatest(
              worth.turnsAt(group, atUs),
              one -> -worth.at(one, Math.min(atUs, one.keyEndUs() - 1)));
      final double its = worth.at(job, Math.min(atUs, job.keyEndUs() - 1));
      if (its < least || (its == least && job.place < destination.least.place)) {
        least = its;
        destination.least = job;
      }
    }
    return -least;
  }
}
