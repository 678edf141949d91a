package thistleturn.decisions;

/**
 * Measures how fast a destination serves messages while others wait for it, and estimates how long
 * its queue takes to drain. Deliveries made while no message waits show the demand, not the
 * capacity, and are not counted.
 */
final class BacklogDrain {
  /**
   * Time, us, that a queue must have existed, beyond two calls, before its rate is known: at first
   * its calls are still in flight.
   */
  private static final long MIN_MEASURED_US = OverloadController.SECOND_US / 2;

  /**
   * Length of a measurement, us, at which what was counted so far is halved, so that older
   * deliveries weigh less.
   */
  private static final long MEMORY_US = 4 * OverloadController.SECOND_US;

  /**
   * Start of the measurement, moved forward as older deliveries are discounted; NEVER while no
   * message waits.
   */
  private long sinceUs = OverloadController.NEVER;

  private double delivered;

  /** Starts a new measurement when the first message waits; that of an earlier queue is dropped. */
  void begin(final long nowUs) {
    sinceUs = nowUs;
    delivered = 0;
  }

  /** Ends the measurement: no message waits any more. */
  void end() {
    sinceUs = OverloadController.NEVER;
  }

  /**
   * Restarts a measurement under way after a pause of this process, whose deliveries do not show
   * the rate of the destination.
   */
  void restartAfterPause(final long nowUs) {
    if (sinceUs != OverloadController.NEVER) {
      begin(nowUs);
    }
  }

  /** Counts a delivery if other messages wait. */
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
   * Returns how long it takes to serve a number of messages, us; 0 while the rate is not known.
   *
   * @param callUs expected duration of a call, us: no delivery can be expected earlier
   */
  double drainUs(final int messages, final long nowUs, final double callUs) {
    if (sinceUs == OverloadController.NEVER || nowUs - sinceUs < MIN_MEASURED_US + 2 * callUs) {
      return 0;
    }
    return messages * ((nowUs - sinceUs) / delivered);
  }
}
