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
  static final double LEAST_RATE = 0.25;

  /** How far ahead a line is looked along, us: the next call at least, and what fades at most. */
  static final long HORIZON_LEAST_US = Control.SECOND_US;

  static final long HORIZON_MOST_US = 10 * Control.SECOND_US;

  final long id;

  /** What waits, like with like. */
  final List<Group> groups = new ArrayList<>();

  final List<Lane> lanes = new ArrayList<>();

  /** What other subsystems say of it; binds all of its lanes. */
  Directives words = Directives.NONE;

  /** Its messages, waiting or out; those that wait. */
  int jobs, waiting;

  boolean touched;

  /** What is refused first to make room, when last looked at. */
  Job least;

  Destination(final long id) {
    this.id = id;
  }

  /** How long its line takes at the rate that it was served, us. */
  long lineUs() {
    double rate = 0;
    for (final Lane lane : lanes) {
      rate += lane.rate;
    }
    return (long) (waiting / Math.max(LEAST_RATE, rate) * Control.SECOND_US);
  }

  long horizonUs() {
    return (long) Worth.clamp((double) lineUs(), HORIZON_LEAST_US, HORIZON_MOST_US);
  }

  /**
   * Puts a message that waits among those like it; {@code blocked}: another of its key goes first.
   */
  void file(final Job job, final boolean blocked) {
    final boolean odd = job.keyEndUs() < job.message.validUntilUs();
    Group group = null;
    for (final Group one : groups) {
      group = one.holds(job, blocked, odd) ? one : group;
    }
    if (group == null) {
      group = new Group(job, blocked, odd);
      groups.add(group);
    }
    job.group = group;
    if (odd) {
      group.odd.add(job);
    } else {
      group.line.add(job, job.aimUs, job.place);
    }
  }

  /** Takes a message out from among those like it. */
  void unfile(final Job job) {
    final Group group = job.group;
    if (group.odd != null) {
      group.odd.remove(job);
    } else {
      group.line.remove(job);
    }
    if (group.isEmpty()) {
      groups.remove(group);
    }
    job.group = null;
  }

  /** Makes up for the steps that its lanes were idle for. */
  void catchUp(final long steps) {
    for (final Lane lane : lanes) {
      lane.catchUp(steps);
    }
  }
}
