package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** The time at which a route is to be ranked and checked again, as an entry of a heap. */
final class RouteTimer extends TimeHeap.Entry {
  private final Route route;

  RouteTimer(final Route route) {
    this.route = route;
  }

  Route route() {
    return route;
  }
}
