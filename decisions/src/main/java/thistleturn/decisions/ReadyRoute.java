package thistleturn.decisions;

import java.util.Comparator;
import thistleturn.decisions.index.Ranking;

/** A route that may have something to send, as an entry of one of the two rankings of routes. */
final class ReadyRoute extends Ranking.Entry {
  static final Comparator<ReadyRoute> ORDER =
      Comparator.comparing((ReadyRoute entry) -> entry.route.destination(), Destination.ORDER)
          .thenComparingInt(ReadyRoute::indexInDestination);

  private final Route route;
  private final boolean byCallTime;

  /** The message that goes next, as of the last ranking; null: none. */
  private PendingMessage selected;

  ReadyRoute(final Route route, final boolean byCallTime) {
    this.route = route;
    this.byCallTime = byCallTime;
  }

  Route route() {
    return route;
  }

  private int indexInDestination() {
    return route.destination().routes().indexOf(route);
  }

  /** Returns whether its ranking divides the urgency by the time that the call takes. */
  boolean ranksByCallTime() {
    return byCallTime;
  }

  PendingMessage selected() {
    return selected;
  }

  void select(final PendingMessage message) {
    selected = message;
  }
}
