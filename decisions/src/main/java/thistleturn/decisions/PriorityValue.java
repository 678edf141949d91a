package thistleturn.decisions;

import java.util.Arrays;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ValueDecay;

/**
 * Computes the priority value of a message by its time of delivery, and the times at which its
 * course changes.
 */
final class PriorityValue {
  /** Share of its value that a message over the quota of its tenant keeps. */
  private static final double OVER_QUOTA_SHARE = 0.25;

  private final ValueDecay valueDecay;

  /** By class: how long after the objective the value has decayed to its floor, us. */
  private final long[] floorReachedUs;

  PriorityValue(final DeliverySettings settings) {
    this.valueDecay = settings.valueDecay();
    this.floorReachedUs = settings.classes().stream().mapToLong(this::floorReachedUs).toArray();
  }

  static double clamp(final double value, final double least, final double most) {
    return Math.max(least, Math.min(most, value));
  }

  /**
   * Returns the value of a message that is delivered at a given time; 0 once it may not be sent.
   */
  double valueAt(final PendingMessage message, final long atUs) {
    if (atUs >= message.retryDeadlineUs()) {
      return 0;
    }
    final MessageClass messageClass = message.messageClass();
    return messageClass.priorityWeight()
        * (message.isOverQuota() ? OVER_QUOTA_SHARE : 1)
        * remainingShare(messageClass, Math.max(0, atUs - message.objectiveUs()));
  }

  /**
   * Returns the share of its value that a message keeps when it is late by a given time, before it
   * expires.
   */
  private double remainingShare(final MessageClass messageClass, final long lateUs) {
    return switch (valueDecay) {
      case HALVING -> halvedShare(messageClass, lateUs);
      case LINEAR -> linearShare(messageClass, lateUs);
    };
  }

  private static double halvedShare(final MessageClass messageClass, final long lateUs) {
    final double halvings = (double) lateUs / Math.max(1, messageClass.latencyObjectiveUs());
    return Math.max(messageClass.lateWeight(), Math.pow(0.5, halvings));
  }

  private static double linearShare(final MessageClass messageClass, final long lateUs) {
    final long decayUs = messageClass.deadlineUs() - messageClass.latencyObjectiveUs();
    return 1 - (1 - messageClass.lateWeight()) * lateUs / Math.max(1, decayUs);
  }

  /** Finds by bisection how long after its latency objective a value reaches its floor. */
  private long floorReachedUs(final MessageClass messageClass) {
    long aboveUs = -1;
    long reachedUs = messageClass.deadlineUs() - messageClass.latencyObjectiveUs();
    while (reachedUs - aboveUs > 1) {
      final long middleUs = (aboveUs + reachedUs) >>> 1;
      if (remainingShare(messageClass, middleUs) <= messageClass.lateWeight()) {
        reachedUs = middleUs;
      } else {
        aboveUs = middleUs;
      }
    }
    return reachedUs;
  }

  /**
   * Returns the latency objectives at which the course of the urgency of a group's messages
   * changes. Between two of them, the urgency only rises, only falls or stays the same. They are
   * the breakpoints of the value of a message that completes now, and of one that completes after
   * the queue.
   */
  long[] urgencyBreakpoints(final DeadlineGroup group, final long doneUs, final long lookAheadUs) {
    final long decayUs = decayUs(group);
    final long floorObjectiveUs = doneUs - floorReachedUs[group.classIndex()] + 1;
    final long[] breakpoints = {
      doneUs + 1,
      floorObjectiveUs,
      doneUs - decayUs + 1,
      doneUs + 1 + lookAheadUs,
      floorObjectiveUs + lookAheadUs,
      doneUs - decayUs + 1 + lookAheadUs
    };
    Arrays.sort(breakpoints);
    return breakpoints;
  }

  /**
   * Returns the same for the value of a message that completes at a given time, or just before it
   * expires.
   */
  long[] valueBreakpoints(final DeadlineGroup group, final long atUs) {
    final long flatUs =
        Math.max(0, Math.min(floorReachedUs[group.classIndex()], decayUs(group) - 1));
    return new long[] {atUs - flatUs + 1, atUs + 1};
  }

  private static long decayUs(final DeadlineGroup group) {
    final MessageClass messageClass = group.messageClass();
    return messageClass.deadlineUs() - messageClass.latencyObjectiveUs();
  }
}
