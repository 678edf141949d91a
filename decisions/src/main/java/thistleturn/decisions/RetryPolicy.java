package thistleturn.decisions;

import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.retries.FollowUp;
import thistleturn.decisions.retries.TimeLeft;

/**
 * Decides whether a message may be attempted, how long an attempt may take, and when a message
 * expires.
 */
final class RetryPolicy {
  /**
   * While the process stops, a call is begun if at least this many times its expected duration is
   * left.
   */
  private static final double STOP_FACTOR = 2;

  /**
   * Timeout of an attempt in multiples of its expected duration: wide enough for a long tail of
   * latencies.
   */
  private static final double TIMEOUT_FACTOR = 8;

  /** Minimum timeout of an attempt, us. */
  private static final long MIN_TIMEOUT_US = 2 * OverloadController.SECOND_US;

  /** How long before its deadline a waiting message expires, us: two decision rounds. */
  private static final long EXPIRY_MARGIN_US = 12_000;

  /**
   * A message may share a call if it has this many times the expected duration left, in addition to
   * {@link #MAX_STALL_US}.
   */
  private static final double SHARED_CALL_FACTOR = 2;

  /**
   * Longest stall of a courier that is allowed for between its decision and reading the answer, us.
   */
  private static final long MAX_STALL_US = 150_000;

  private final ControllerState state;

  RetryPolicy(final ControllerState state) {
    this.state = state;
  }

  /**
   * Returns whether a call with a message of a group is likely to complete before this process
   * ends.
   */
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

  /** Returns the expected duration of a call with a message. */
  double expectedUs(final Route route, final PendingMessage message) {
    return state.latencies.expectedUs(route, message.classIndex());
  }

  /**
   * Returns whether a message is likely to expire only after a call that it shares has been
   * answered. A shared call ends for all of its messages at the earliest of their deadlines;
   * messages that it had already delivered would be sent again.
   */
  boolean outlastsSharedCall(final Route route, final PendingMessage message) {
    return message.validUntilUs() - state.nowUs
        >= minTimeForSharedCallUs(route, message.classIndex());
  }

  /** Returns how much time must be left for a message of a class to share a call. */
  double minTimeForSharedCallUs(final Route route, final int classIndex) {
    return MAX_STALL_US + SHARED_CALL_FACTOR * state.latencies.expectedUs(route, classIndex);
  }

  /** Returns the timeout of an attempt. */
  long timeoutUs(final EndpointHealth endpoint, final PendingMessage message) {
    final long remainingUs = message.validUntilUs() - state.nowUs;
    if (message.idempotence() == Idempotence.NON_IDEMPOTENT) {
      return remainingUs;
    }
    final double expectedUs = expectedUs(endpoint.route(), message);
    final long timeoutUs =
        withinKeyWindow(message, usualTimeoutUs(endpoint, message.classIndex(), expectedUs));
    // After a shorter timeout, too little time would be left for another attempt.
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

  /**
   * Shortens the timeout of the first attempt of a message that is idempotent by key, so that a
   * retry still falls within the window of the key.
   */
  private static long withinKeyWindow(final PendingMessage message, final long timeoutUs) {
    if (message.idempotence() != Idempotence.IDEMPOTENT_BY_KEY || message.mayHaveExecuted()) {
      return timeoutUs;
    }
    final long retryUs = message.messageClass().safeKeyWindowUs() - InFlightCall.MIN_OVERDUE_US / 2;
    return Math.min(timeoutUs, Math.max(InFlightCall.MIN_OVERDUE_US, retryUs));
  }

  /**
   * Returns when a waiting message expires: just before its deadline, or when the window of its key
   * ends.
   */
  long expiryUs(final PendingMessage message) {
    return Math.min(message.validUntilUs() - EXPIRY_MARGIN_US, message.retryDeadlineUs());
  }

  /** Returns whether another attempt has no harmful effect and is within the maximum number. */
  boolean mayAttempt(final PendingMessage message) {
    final boolean possible =
        message.attempts() < state.settings.limits().maxAttempts()
            && state.nowUs < message.repeatableUntilUs();
    return message.followUp(possible ? TimeLeft.FOR_CALL : TimeLeft.FOR_NOTICE) == FollowUp.CALL;
  }
}
