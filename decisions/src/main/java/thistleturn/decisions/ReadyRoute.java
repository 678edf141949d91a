package thistleturn.decisions;

import java.util.Comparator;
import thistleturn.decisions.index.Ranking;

/** A lane that may have something to send, in one of the two orders. */
final class ReadyRoute extends Ranking.Entry {
  static final Comparator<ReadyRoute> ORDER =
      Comparator.comparing((ReadyRoute entry) -> entry.route.destination, Destination.ORDER)
          .thenComparingInt(entry -> entry.route.destination.routes.indexOf(entry.route));
  final Route route;
  final int rankingMode;

  /** What goes, when last looked at. */
  PendingMessage selected;

  ReadyRoute(final Route lane, final int mode) {
    this.route = lane;
    this.rankingMode = mode;
  }
}
