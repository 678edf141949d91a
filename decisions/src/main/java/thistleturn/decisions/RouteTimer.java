package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** When a lane is looked at again. */
final class RouteTimer extends TimeHeap.Entry {
  final Route route;

  RouteTimer(final Route lane) {
    this.route = lane;
  }
}
