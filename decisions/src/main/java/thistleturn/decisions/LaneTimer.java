package thistleturn.decisions;

import thistleturn.decisions.index.TimeHeap;

/** When a lane is looked at again. */
final class LaneTimer extends TimeHeap.Entry {
  final Lane lane;

  LaneTimer(final Lane lane) {
    this.lane = lane;
  }
}
