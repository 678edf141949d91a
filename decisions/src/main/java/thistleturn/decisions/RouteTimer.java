package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** When a route is to be ranked and checked again. */
final class RouteTimer extends TimeHeap.Entry {
  private final Route route;

  RouteTimer(final Route route) {
    this.route = route;
  }

  Route route() {
    return route;
  }
}
