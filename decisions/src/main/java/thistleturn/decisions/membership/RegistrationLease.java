package thistleturn.decisions.membership;

/**
 * This courier's own entry in a registry: when to register, renew, warn and cancel. One call is out
 * at a time; a lease that is never cancelled (a process that is killed) expires at the registry by
 * itself. No clock of its own.
 */
public final class RegistrationLease {
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;

  private final int addresses;
  private final long renewUs;
  private int address;
  private int failedInRow;
  private Action due = Action.REGISTER;
  private long atUs;
  private boolean leaving;
  private boolean cancelling;
  private boolean known;

  /** What is to be done at the registry. */
  public enum Action {
    REGISTER,
    RENEW,
    WARN,
    CANCEL,
    NOTHING
  }

  /** The next call; {@link RegistrationLease.Action#NOTHING} has no time. */
  public record ScheduledAction(Action action, long atUs, int address) {}

  /** The first call registers at once; renewals follow at that interval, us. */
  public RegistrationLease(final long nowUs, final int addresses, final long renewUs) {
    if (addresses < 1 || renewUs < 1) {
      throw new IllegalArgumentException("a registry has an address, and a lease an interval");
    }
    this.addresses = addresses;
    this.renewUs = renewUs;
    this.atUs = nowUs;
  }

  /** What is due next. */
  public ScheduledAction next() {
    return new ScheduledAction(due, due == Action.NOTHING ? Long.MAX_VALUE : atUs, address);
  }

  /**
   * A call has ended.
   *
   * @param status the answer's status; 0 if none came, and then the registry may have done it or
   *     not
   */
  public void onCompleted(final long nowUs, final Action act, final int status) {
    final boolean went = status == OK || status == NO_CONTENT;
    if (act == Action.REGISTER || act == Action.RENEW) {
      // A call without an answer may have registered us all the same; a refused renewal takes
      // nothing away.
      known = went || (status != NOT_FOUND && (known || (act == Action.REGISTER && status == 0)));
    }
    if (went) {
      failedInRow = 0;
    } else if (status != NOT_FOUND) {
      failedInRow++;
      address = (address + 1) % addresses;
    }
    if (act == Action.CANCEL) {
      due = Action.NOTHING;
      known = false;
      return;
    }
    if (cancelling) {
      due = known ? Action.CANCEL : Action.NOTHING;
      atUs = nowUs;
    } else if (leaving) {
      // Once warned, or in vain: the registry hears no more of us until the end.
      final boolean warn = known && act != Action.WARN;
      due = warn ? Action.WARN : Action.NOTHING;
      atUs = nowUs;
    } else if (went) {
      due = Action.RENEW;
      atUs = nowUs + renewUs;
    } else if (act == Action.RENEW && status == NOT_FOUND) {
      due = Action.REGISTER;
      atUs = nowUs;
    } else {
      due = known && act == Action.RENEW ? Action.RENEW : Action.REGISTER;
      final int rounds = Math.min(failedInRow / addresses, 10);
      atUs =
          nowUs
              + (failedInRow % addresses != 0
                  ? 0
                  : Math.min(renewUs, Math.max(1, renewUs / 30) << rounds));
    }
  }

  /**
   * The process ends soon: the registry is told that nothing new shall come here. {@code busy}: a
   * call is out.
   */
  public void beginDraining(final long nowUs, final boolean busy) {
    if (!leaving) {
      leaving = true;
      if (!busy) {
        due = known ? Action.WARN : Action.NOTHING;
        atUs = nowUs;
      }
    }
  }

  /** The process ends now: the entry goes. {@code busy}: a call is out, and its end decides. */
  public void cancel(final long nowUs, final boolean busy) {
    leaving = true;
    if (!cancelling) {
      cancelling = true;
      if (!busy) {
        due = known ? Action.CANCEL : Action.NOTHING;
        atUs = nowUs;
      }
    }
  }

  /** True if nothing more is to be done for the end. */
  public boolean isFinished() {
    return cancelling && due == Action.NOTHING;
  }

  /** True while the registry has, or may have, our entry. */
  public boolean mayBeRegistered() {
    return known;
  }
}
