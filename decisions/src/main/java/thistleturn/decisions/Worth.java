package thistleturn.decisions;

import java.util.Arrays;

/** What a message is worth at a given time, and the times at which that turns. Plain arithmetic. */
final class Worth {
  /** Share of worth beyond a quota, of which we see a part. */
  private static final double OVER_QUOTA = 0.25;

  private final Courier.Fade fade;

  /** By class: how late its worth has reached its floor, us after its aim. */
  private final long[] floorUs;

  Worth(final Courier.Settings settings) {
    this.fade = settings.fade();
    this.floorUs = settings.classes().stream().mapToLong(this::floorUs).toArray();
  }

  static double clamp(final double value, final double least, final double most) {
    return Math.max(least, Math.min(most, value));
  }

  /**
   * The worth of a message delivered at a given time; a key's window ends it like the deadline
   * does.
   */
  double at(final Job job, final long atUs) {
    return atUs >= job.keyEndUs()
        ? 0
        : job.kind.worth()
            * (job.overQuota ? OVER_QUOTA : 1)
            * faded(job.kind, Math.max(0, atUs - job.aimUs));
  }

  /** The share of its worth that is left of a message so late, us, before it ends. */
  private double faded(final Courier.MessageClass kind, final long lateUs) {
    return (fade == Courier.Fade.HALVING
        ? Math.max(kind.lateWorth(), Math.pow(0.5, (double) lateUs / Math.max(1, kind.aimUs())))
        : 1 - (1 - kind.lateWorth()) * lateUs / Math.max(1, kind.deadlineUs() - kind.aimUs()));
  }

  /**
   * How late a message's worth has faded as far as it does, us after its aim; its end at the
   * latest.
   */
  private long floorUs(final Courier.MessageClass kind) {
    final long lifeUs = kind.deadlineUs() - kind.aimUs();
    long lowUs = -1;
    long highUs = lifeUs;
    while (highUs - lowUs > 1) {
      final long middleUs = (lowUs + highUs) >>> 1;
      final boolean faded = faded(kind, middleUs) <= kind.lateWorth();
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
  long[] turns(final Group group, final long doneUs, final long horizonUs) {
    final long lifeUs = group.like.deadlineUs() - group.like.aimUs();
    final long floorAimUs = doneUs - floorUs[group.kind] + 1;
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
  long[] turnsAt(final Group group, final long atUs) {
    final long lifeUs = group.like.deadlineUs() - group.like.aimUs();
    final long flatUs = Math.max(0, Math.min(floorUs[group.kind], lifeUs - 1));
    return new long[] {atUs - flatUs + 1, atUs + 1};
  }
}
