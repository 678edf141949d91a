package thistleturn.decisions;

/**
 * How fast a destination serves messages while others wait for it, and how long its queue takes at
 * that rate. Deliveries while nothing waits say how much was asked for, not how much can be served,
 * and are not counted.
 */
final class BacklogDrain {
  /** For so long, us, a rate is not known: the calls of a queue that has just formed are out. */
  private static final long MIN_MEASURED_US = OverloadController.SECOND_US / 2;

  /** What was measured longer ago than this, us, weighs half. */
  private static final long MEMORY_US = 4 * OverloadController.SECOND_US;

  /** Since when messages wait, moved forward as older deliveries are forgotten; NEVER: none do. */
  private long sinceUs = OverloadController.NEVER;

  private double delivered;

  /** The first message waits: what an earlier queue has shown no longer counts. */
  void begin(final long nowUs) {
    sinceUs = nowUs;
    delivered = 0;
  }

  /** No message waits any more. */
  void end() {
    sinceUs = OverloadController.NEVER;
  }

  /** This courier did not run for a while: what it served meanwhile says nothing. */
  void restartAfterPause(final long nowUs) {
    if (sinceUs != OverloadController.NEVER) {
      begin(nowUs);
    }
  }

  /** Counts a delivery, if others wait. */
  void recordDelivery(final long nowUs) {
    if (sinceUs == OverloadController.NEVER) {
      return;
    }
    delivered++;
    final long measuredUs = nowUs - sinceUs;
    if (measuredUs > MEMORY_US) {
      sinceUs += measuredUs / 2;
      delivered /= 2;
    }
  }

  /**
   * Returns how long so many messages take, us; 0 while the queue is too young to tell.
   *
   * @param callUs how long a call takes: no delivery can be expected earlier
   */
  double drainUs(final int messages, final long nowUs, final double callUs) {
    if (sinceUs == OverloadController.NEVER || nowUs - sinceUs < MIN_MEASURED_US + 2 * callUs) {
      return 0;
    }
    return messages * ((nowUs - sinceUs) / delivered);
  }
}
