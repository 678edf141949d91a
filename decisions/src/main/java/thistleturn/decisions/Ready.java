package thistleturn.decisions;

import java.util.Comparator;
import thistleturn.decisions.index.Ranking;

/** A lane that may have something to send, in one of the two orders. */
final class Ready extends Ranking.Entry {
  static final Comparator<Ready> ORDER =
      Comparator.comparing((Ready entry) -> entry.lane.destination, Destination.ORDER)
          .thenComparingInt(entry -> entry.lane.destination.lanes.indexOf(entry.lane));
  final Lane lane;
  final int mode;

  /** What goes, when last looked at. */
  Job picked;

  Ready(final Lane lane, final int mode) {
    this.lane = lane;
    this.mode = mode;
  }
}
