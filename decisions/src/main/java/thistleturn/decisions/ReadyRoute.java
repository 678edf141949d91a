package thistleturn.decisions;

import java.util.Comparator;
import thistleturn.decisions.index.Ranking;

/** A route that may have a message to send, as an entry of one of the two rankings of routes. */
final class ReadyRoute extends Ranking.Entry {
  static final Comparator<ReadyRoute> ORDER =
      Comparator.comparing((ReadyRoute entry) -> entry.route.destination(), Destination.ORDER)
          .thenComparingInt(ReadyRoute::indexInDestination);

  private final Route route;
  private final boolean byCallTime;

  /** The message to be sent next, as of the last ranking; null if there is none. */
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

  /** Returns whether its ranking divides the urgency by the expected duration of the call. */
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
