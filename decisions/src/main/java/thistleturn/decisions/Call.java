package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.index.TimeHeap;

/** A call in flight, with one or more messages. */
final class Call extends TimeHeap.Entry {
  /**
   * A failure is a single one while less than this share of the lane's calls fails, and its
   * endpoint serves.
   */
  static final double SINGLE_SHARE = 0.3;

  /**
   * A call is overdue after so many times what is expected (one in 150, by chance), and so long,
   * us.
   */
  static final double OVERDUE_TIMES = 5;

  static final long OVERDUE_LEAST_US = Control.SECOND_US;

  Node node;

  /** Its messages without an outcome, in the order taken. */
  final List<Job> jobs = new ArrayList<>(1);

  /** Messages sent with it, and those without an outcome yet. */
  int size, messages;

  long sentUs, expectedUs, idleUs;

  /** How long this courier did not run while it was out. */
  long awayUs;

  /**
   * It went over a connection that was kept, as far as is known here; and that alone made it fail.
   */
  boolean reused, stale;

  boolean calledOff, fallen;

  /** It was sent to learn what a refusal answered to. */
  boolean probe;

  /** A message of it was refused; and that was found not to answer to what is sent. */
  boolean refused, stray;

  /**
   * True if its connection was dead before the call: as the host tells, or, where hosts cannot
   * tell, as it seems from a reset of what may have been a kept connection, its endpoint well so
   * far.
   */
  boolean wasDead(final Courier.Result how, final double badRun) {
    return how == Courier.Result.STALE || (how == Courier.Result.RESET && reused && badRun == 0);
  }

  /** True if it alone was lost while others came through: that says little of its endpoint. */
  boolean isSingle(final int kind, final Courier.Result result) {
    final Lane lane = node.lane;
    // A reset comes at once, before another call can have been served.
    final boolean among =
        node.lastServedUs >= sentUs
            || (result != Courier.Result.TIMED_OUT && lane.badRun == 0 && node.lastServedUs > 0);
    return among
        && lane.phase == Phase.WELL
        && node.badRun[kind] == 0
        && lane.failShare < SINGLE_SHARE;
  }

  /** True while it is worth calling off. */
  boolean isSilent() {
    return fallen && !calledOff;
  }

  long firstNumber() {
    return jobs.get(0).number;
  }

  long overdueUs() {
    return sentUs + awayUs + Math.max(OVERDUE_LEAST_US, (long) (OVERDUE_TIMES * expectedUs));
  }
}
