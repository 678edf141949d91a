package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import thistleturn.decisions.directives.Directives;
import thistleturn.decisions.index.Ranking;

/** A destination: what waits for it, and its lanes (one, unless its routes are apart). */
final class Destination extends Ranking.Entry {
  static final Comparator<Destination> ORDER =
      Comparator.comparingLong(destination -> destination.id);

  /** Messages a second: least rate at which a line is reckoned. */
  static final double MIN_RATE = 0.25;

  /** How far ahead a line is looked along, us: the next call at least, and what fades at most. */
  static final long MIN_LOOK_AHEAD_US = OverloadController.SECOND_US;

  static final long MAX_LOOK_AHEAD_US = 10 * OverloadController.SECOND_US;

  final long id;

  /** What waits, like with like. */
  final List<DeadlineGroup> groups = new ArrayList<>();

  final List<Route> routes = new ArrayList<>();

  /** What other subsystems say of it; binds all of its lanes. */
  Directives directives = Directives.NONE;

  /** Its messages, waiting or out; those that wait. */
  int openMessages, waitingMessages;

  boolean changed;

  /** What is refused first to make room, when last looked at. */
  PendingMessage leastValuable;

  Destination(final long id) {
    this.id = id;
  }

  /** How long its line takes at the rate that it was served, us. */
  long queueDrainUs() {
    double rate = 0;
    for (final Route lane : routes) {
      rate += lane.messageRate;
    }
    return (long) (waitingMessages / Math.max(MIN_RATE, rate) * OverloadController.SECOND_US);
  }

  long lookAheadUs() {
    return (long)
        PriorityValue.clamp((double) queueDrainUs(), MIN_LOOK_AHEAD_US, MAX_LOOK_AHEAD_US);
  }

  /**
   * Puts a message that waits among those like it; {@code blocked}: another of its key goes first.
   */
  void enqueue(final PendingMessage job, final boolean blocked) {
    final boolean odd = job.retryDeadlineUs() < job.message.validUntilUs();
    DeadlineGroup group = null;
    for (final DeadlineGroup one : groups) {
      group = one.matches(job, blocked, odd) ? one : group;
    }
    if (group == null) {
      group = new DeadlineGroup(job, blocked, odd);
      groups.add(group);
    }
    job.group = group;
    if (odd) {
      group.unordered.add(job);
    } else {
      group.ordered.add(job, job.objectiveUs, job.queuePosition);
    }
  }

  /** Takes a message out from among those like it. */
  void dequeue(final PendingMessage job) {
    final DeadlineGroup group = job.group;
    if (group.unordered != null) {
      group.unordered.remove(job);
    } else {
      group.ordered.remove(job);
    }
    if (group.isEmpty()) {
      groups.remove(group);
    }
    job.group = null;
  }

  /** Makes up for the steps that its lanes were idle for. */
  void catchUpIdleSteps(final long steps) {
    for (final Route lane : routes) {
      lane.catchUpIdleSteps(steps);
    }
  }
}
