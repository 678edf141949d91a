package thistleturn.decisions.membership;

/**
 * Schedules the calls for this courier's own entry in a registry: when to register, renew, announce
 * draining and cancel. At most one call is in flight at a time. A lease that is never cancelled,
 * because the process was killed, expires at the registry by itself.
 *
 * <p>The caller reads the next call from {@link #next}, makes it at its time, and reports the
 * result to {@link #onCompleted}. Times are in microseconds on one monotonic clock.
 */
public final class RegistrationLease {
  /** Reported as the status of a call that was not answered. */
  public static final int NO_ANSWER = 0;

  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;

  /** The first backoff is the renewal interval divided by this. */
  private static final int FIRST_BACKOFF_DIVISOR = 30;

  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  private final int addresses;
  private final long renewalIntervalUs;
  private Phase phase = Phase.SERVING;
  private Action nextAction = Action.REGISTER;
  private long nextActionUs;
  private int address;
  private int consecutiveFailures;
  private boolean mayBeRegistered;

  /** The phase of the courier; it only moves forward. */
  private enum Phase {
    SERVING,
    DRAINING,
    CANCELLING
  }

  /** A call to the registry. */
  public enum Action {
    /** Create the entry. */
    REGISTER,
    /** Renew the entry before its lease expires. */
    RENEW,
    /** Announce that nothing new should be sent here. */
    WARN,
    /** Remove the entry. */
    CANCEL,
    /** No call is due. */
    NOTHING
  }

  /**
   * The next call; {@link Action#NOTHING} has no time.
   *
   * @param address index of the registry's address to call
   */
  public record ScheduledAction(Action action, long atUs, int address) {}

  /**
   * Creates a lease whose registration is due immediately.
   *
   * @param addresses how many addresses the registry has
   * @param renewalIntervalUs time between two renewals, us
   */
  public RegistrationLease(final long nowUs, final int addresses, final long renewalIntervalUs) {
    if (addresses < 1 || renewalIntervalUs < 1) {
      throw new IllegalArgumentException(
          "a registry needs an address, and a lease a positive renewal interval");
    }
    this.addresses = addresses;
    this.renewalIntervalUs = renewalIntervalUs;
    this.nextActionUs = nowUs;
  }

  /** Returns the next call. */
  public ScheduledAction next() {
    final long atUs = nextAction == Action.NOTHING ? Long.MAX_VALUE : nextActionUs;
    return new ScheduledAction(nextAction, atUs, address);
  }

  /**
   * Records that a call has completed, and schedules the next one.
   *
   * @param status the HTTP status of the answer, or {@link #NO_ANSWER} if it is unknown whether the
   *     registry carried out the call
   */
  public void onCompleted(final long nowUs, final Action action, final int status) {
    final boolean succeeded = status == OK || status == NO_CONTENT;
    updateRegistered(action, status, succeeded);
    updateFailures(status, succeeded);
    if (action == Action.CANCEL) {
      mayBeRegistered = false;
      nextAction = Action.NOTHING;
      return;
    }
    switch (phase) {
      case CANCELLING -> schedule(mayBeRegistered ? Action.CANCEL : Action.NOTHING, nowUs);
      // One warning is enough, even if it failed: the next call is the cancellation.
      case DRAINING ->
          schedule(mayBeRegistered && action != Action.WARN ? Action.WARN : Action.NOTHING, nowUs);
      case SERVING -> scheduleWhileServing(nowUs, action, status, succeeded);
    }
  }

  private void updateRegistered(final Action action, final int status, final boolean succeeded) {
    if (action == Action.REGISTER || action == Action.RENEW) {
      // An unanswered registration may have succeeded, and a failed renewal does not remove the
      // entry.
      final boolean maybeRegisteredNow = action == Action.REGISTER && status == NO_ANSWER;
      mayBeRegistered =
          succeeded || (status != NOT_FOUND && (mayBeRegistered || maybeRegisteredNow));
    }
  }

  private void updateFailures(final int status, final boolean succeeded) {
    if (succeeded) {
      consecutiveFailures = 0;
    } else if (status != NOT_FOUND) {
      consecutiveFailures++;
      address = (address + 1) % addresses;
    }
  }

  private void scheduleWhileServing(
      final long nowUs, final Action action, final int status, final boolean succeeded) {
    if (succeeded) {
      schedule(Action.RENEW, nowUs + renewalIntervalUs);
    } else if (action == Action.RENEW && status == NOT_FOUND) {
      schedule(Action.REGISTER, nowUs);
    } else {
      final boolean renews = mayBeRegistered && action == Action.RENEW;
      schedule(renews ? Action.RENEW : Action.REGISTER, nowUs + backoffUs());
    }
  }

  /**
   * Returns the time until the next attempt: 0 while other addresses remain to be tried; after each
   * round in which all of them failed, the backoff doubles.
   */
  private long backoffUs() {
    if (consecutiveFailures % addresses != 0) {
      return 0;
    }
    final int doublings = Math.min(consecutiveFailures / addresses, MAX_BACKOFF_DOUBLINGS);
    final long firstUs = Math.max(1, renewalIntervalUs / FIRST_BACKOFF_DIVISOR);
    return Math.min(renewalIntervalUs, firstUs << doublings);
  }

  private void schedule(final Action action, final long atUs) {
    nextAction = action;
    nextActionUs = atUs;
  }

  /**
   * Starts draining for a graceful shutdown: the registry is asked to route nothing new here.
   *
   * @param callInFlight true if a call has not completed yet; its completion decides what follows
   */
  public void beginDraining(final long nowUs, final boolean callInFlight) {
    if (phase != Phase.SERVING) {
      return;
    }
    phase = Phase.DRAINING;
    if (!callInFlight) {
      schedule(mayBeRegistered ? Action.WARN : Action.NOTHING, nowUs);
    }
  }

  /**
   * Cancels the lease, as the process ends now: the entry is removed.
   *
   * @param callInFlight true if a call has not completed yet; its completion decides what follows
   */
  public void cancel(final long nowUs, final boolean callInFlight) {
    if (phase == Phase.CANCELLING) {
      return;
    }
    phase = Phase.CANCELLING;
    if (!callInFlight) {
      schedule(mayBeRegistered ? Action.CANCEL : Action.NOTHING, nowUs);
    }
  }

  /** Returns true if the lease was cancelled and no further call is due. */
  public boolean isFinished() {
    return phase == Phase.CANCELLING && nextAction == Action.NOTHING;
  }

  /** Returns true while the registry has, or may have, this courier's entry. */
  public boolean mayBeRegistered() {
    return mayBeRegistered;
  }
}
