package thistleturn.decisions;

import java.util.Arrays;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ValueDecay;

/** What a message is worth at a given time, and the times at which that turns. Plain arithmetic. */
final class PriorityValue {
  /** Share of worth beyond a quota, of which we see a part. */
  private static final double OVER_QUOTA_SHARE = 0.25;

  private final ValueDecay valueDecay;

  /** By class: how late its worth has reached its floor, us after its aim. */
  private final long[] floorReachedUs;

  PriorityValue(final DeliverySettings settings) {
    this.valueDecay = settings.valueDecay();
    this.floorReachedUs = settings.classes().stream().mapToLong(this::floorReachedUs).toArray();
  }

  static double clamp(final double value, final double least, final double most) {
    return Math.max(least, Math.min(most, value));
  }

  /**
   * The worth of a message delivered at a given time; a key's window ends it like the deadline
   * does.
   */
  double valueAt(final PendingMessage job, final long atUs) {
    return atUs >= job.retryDeadlineUs()
        ? 0
        : job.messageClass.priorityWeight()
            * (job.overQuota ? OVER_QUOTA_SHARE : 1)
            * remainingShare(job.messageClass, Math.max(0, atUs - job.objectiveUs));
  }

  /** The share of its worth that is left of a message so late, us, before it ends. */
  private double remainingShare(final MessageClass kind, final long lateUs) {
    return (valueDecay == ValueDecay.HALVING
        ? Math.max(
            kind.lateWeight(),
            Math.pow(0.5, (double) lateUs / Math.max(1, kind.latencyObjectiveUs())))
        : 1
            - (1 - kind.lateWeight())
                * lateUs
                / Math.max(1, kind.deadlineUs() - kind.latencyObjectiveUs()));
  }

  /**
   * How late a message's worth has faded as far as it does, us after its aim; its end at the
   * latest.
   */
  private long floorReachedUs(final MessageClass kind) {
    final long lifeUs = kind.deadlineUs() - kind.latencyObjectiveUs();
    long lowUs = -1;
    long highUs = lifeUs;
    while (highUs - lowUs > 1) {
      final long middleUs = (lowUs + highUs) >>> 1;
      final boolean faded = remainingShare(kind, middleUs) <= kind.lateWeight();
      lowUs = faded ? lowUs : middleUs;
      highUs = faded ? middleUs : highUs;
    }
    return highUs;
  }

  /**
   * The urgency of like messages follows from their aims alone. It only rises, only falls or stays
   * the same between these aims: where worth turns when a message is done, and when it is done
   * after the line.
   */
  long[] urgencyBreakpoints(final DeadlineGroup group, final long doneUs, final long horizonUs) {
    final long lifeUs = group.messageClass.deadlineUs() - group.messageClass.latencyObjectiveUs();
    final long floorAimUs = doneUs - floorReachedUs[group.classIndex] + 1;
    final long[] turns = {
      doneUs + 1,
      floorAimUs,
      doneUs - lifeUs + 1,
      doneUs + 1 + horizonUs,
      floorAimUs + horizonUs,
      doneUs - lifeUs + 1 + horizonUs
    };
    Arrays.sort(turns);
    return turns;
  }

  /**
   * The same for what a message that is done at a given time is worth, just before its end at the
   * latest.
   */
  long[] valueBreakpoints(final DeadlineGroup group, final long atUs) {
    final long lifeUs = group.messageClass.deadlineUs() - group.messageClass.latencyObjectiveUs();
    final long flatUs = Math.max(0, Math.min(floorReachedUs[group.classIndex], lifeUs - 1));
    return new long[] {atUs - flatUs + 1, atUs + 1};
  }
}
