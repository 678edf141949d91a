package thistleturn.decisions;

import thistleturn.decisions.model.Idempotence;

/** Whether a message may be attempted, for how long, and until when. */
final class RetryPolicy {
  /** A call begun before a stop has this many times its expected duration left. */
  private static final double STOP_FACTOR = 2;

  /** A timeout, in times the expected duration, and at least, us: wide enough for a long tail. */
  private static final double TIMEOUT_FACTOR = 8;

  private static final long MIN_TIMEOUT_US = 2 * OverloadController.SECOND_US;

  /** A message ends this long before its deadline, us: two rounds. */
  private static final long EXPIRY_MARGIN_US = 12_000;

  /** A message that shares a call has this many times its expected duration left. */
  private static final double SHARED_CALL_FACTOR = 2;

  /** For so long, us, a courier may be held up between its decision and its reading the answer. */
  private static final long HOLD_UP_US = 150_000;

  private final ControllerState state;

  RetryPolicy(final ControllerState state) {
    this.state = state;
  }

  /** Returns whether the end of this process would likely leave a call the time that it needs. */
  boolean fitsBeforeStop(final Route route, final DeadlineGroup group) {
    if (state.stopAtUs == OverloadController.NEVER) {
      return true;
    }
    final double factor =
        group.idempotence() == Idempotence.NON_IDEMPOTENT
            ? InFlightCall.OVERDUE_FACTOR
            : STOP_FACTOR;
    final double expectedUs = state.latencies.publishedExpectedUs(route, group.classIndex());
    return state.nowUs + factor * expectedUs < state.stopAtUs;
  }

  /** Returns how long the call of a message is expected to take. */
  double expectedUs(final Route route, final PendingMessage message) {
    return state.latencies.expectedUs(route, message.classIndex());
  }

  /**
   * Returns whether a message likely expires only after its call has been answered. A call that
   * several messages share is over for all of them with the deadline of the first: those that were
   * delivered by it would be sent again.
   */
  boolean outlastsSharedCall(final Route route, final PendingMessage message) {
    return message.validUntilUs() - state.nowUs >= sharedCallNeedsUs(route, message.classIndex());
  }

  /** Returns how much time a message of a class has left that may share a call. */
  double sharedCallNeedsUs(final Route route, final int classIndex) {
    return HOLD_UP_US + SHARED_CALL_FACTOR * state.latencies.expectedUs(route, classIndex);
  }

  /** Returns how long an attempt may take. */
  long timeoutUs(final EndpointHealth endpoint, final PendingMessage message) {
    final long remainingUs = message.validUntilUs() - state.nowUs;
    if (message.idempotence() == Idempotence.NON_IDEMPOTENT) {
      return remainingUs;
    }
    final double expectedUs = expectedUs(endpoint.route(), message);
    final long timeoutUs =
        withinKeyWindow(message, usualTimeoutUs(endpoint, message.classIndex(), expectedUs));
    // Too little would be left for another attempt.
    return remainingUs - timeoutUs < expectedUs ? remainingUs : timeoutUs;
  }

  private long usualTimeoutUs(
      final EndpointHealth endpoint, final int classIndex, final double expectedUs) {
    final double multiplier = endpoint.route().latency().timeoutMultiplier();
    final long timeoutUs =
        (long) Math.max(MIN_TIMEOUT_US, TIMEOUT_FACTOR * multiplier * expectedUs);
    return state.classifiesFaults
        ? endpoint.classStatistics(classIndex).timeoutUs(timeoutUs, multiplier)
        : timeoutUs;
  }

  /** Shortens the timeout of a first attempt with a key, so that the key outlasts it. */
  private static long withinKeyWindow(final PendingMessage message, final long timeoutUs) {
    if (message.idempotence() != Idempotence.IDEMPOTENT_BY_KEY || message.mayHaveExecuted()) {
      return timeoutUs;
    }
    final long retryUs = message.messageClass().safeKeyWindowUs() - InFlightCall.MIN_OVERDUE_US / 2;
    return Math.min(timeoutUs, Math.max(InFlightCall.MIN_OVERDUE_US, retryUs));
  }

  /** Returns when a message that waits expires: its time or the window of its key is up. */
  long expiryUs(final PendingMessage message) {
    return Math.min(message.validUntilUs() - EXPIRY_MARGIN_US, message.retryDeadlineUs());
  }

  /** Returns whether another attempt is harmless, and within the maximum. */
  boolean mayAttempt(final PendingMessage message) {
    return message.attempts() < state.settings.limits().maxAttempts()
        && (!message.mayHaveExecuted() || mayRepeat(message));
  }

  private boolean mayRepeat(final PendingMessage message) {
    return switch (message.idempotence()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENT_BY_KEY -> state.nowUs < message.retryDeadlineUs();
      case NON_IDEMPOTENT -> false;
    };
  }
}
