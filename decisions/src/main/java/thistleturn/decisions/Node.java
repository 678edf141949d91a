package thistleturn.decisions;

import java.util.Arrays;
import thistleturn.decisions.directives.Directives;
import thistleturn.decisions.rejections.EndpointClassStatistics;

/** An endpoint. */
final class Node {
  private static final double REFUSED_LOAD = 2;
  final Courier.Endpoint entry;
  final Lane lane;
  Courier.Condition condition;

  /** What other subsystems say of it. */
  Directives words = Directives.NONE;

  int inFlight, connections, silent;

  /** Since which event or pass its silent calls are to be reckoned with. */
  long avoidTick;

  /** Failures in a row of each class, and until when that class goes elsewhere. */
  final double[] badRun;

  final long[] avoidUntilUs;

  /** By class: its tail and its own refusals. */
  final EndpointClassStatistics[] cells;

  long lastUseUs, lastSendUs, lastServedUs;

  Node(final Courier.Endpoint entry, final Lane lane, final int classes) {
    this.badRun = new double[classes];
    this.avoidUntilUs = new long[classes];
    this.cells = new EndpointClassStatistics[classes];
    Arrays.setAll(cells, kind -> new EndpointClassStatistics());
    this.entry = entry;
    this.lane = lane;
  }

  long id() {
    return entry.id();
  }

  /** True if new calls may go there, as far as the list and other subsystems say. */
  boolean isOpen(final long nowUs) {
    return condition == Courier.Condition.LISTED
        && words.earliestCallUs(lastSendUs, nowUs) <= nowUs;
  }

  /**
   * What its refusals weigh in the choice for a message, in calls in flight; more where it refused
   * this one.
   */
  double refusalLoad(final int kind, final Node refusedBy) {
    return cells[kind].consecutiveRejections() + (this == refusedBy ? REFUSED_LOAD : 0);
  }

  /** A message was served there: it is neither silent nor in trouble for its class. */
  void served(final int kind, final long nowUs, final long durationUs) {
    lastServedUs = nowUs;
    lane.silent -= silent;
    silent = 0;
    badRun[kind] = 0;
    avoidUntilUs[kind] = 0;
    cells[kind].recordServed(Math.max(0, durationUs));
  }

  /**
   * What failed there failed for want of a way out; calls that are still out from then say nothing
   * more of it.
   */
  void reached(final long nowUs) {
    lastServedUs = nowUs;
    Arrays.fill(badRun, 0);
    Arrays.fill(avoidUntilUs, 0);
    lane.silent -= silent;
    silent = 0;
  }

  /** True if nothing goes there though it is listed, for trouble with it, or only single trials. */
  boolean isAvoided(final long nowUs) {
    return condition == Courier.Condition.LISTED
        && (lane.phase == Phase.OUT
            || silent > 0
            || Arrays.stream(avoidUntilUs).allMatch(untilUs -> nowUs < untilUs));
  }
}
