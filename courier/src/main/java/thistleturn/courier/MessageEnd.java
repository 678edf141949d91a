package thistleturn.courier;

import java.util.Locale;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.retries.Evidence;

/** What ended a message. Nothing of it is sent from then on. */
enum MessageEnd {
  /** An endpoint answered that it is delivered. */
  DELIVERED(true),
  /** An endpoint answered that it is over: withdrawn, or out of time. */
  OVER(true),
  /** An endpoint answered that it has had all its attempts; its outcome is still to be reported. */
  NO_FURTHER_ATTEMPT(true),
  /** This courier reports it to the platform as deferred. */
  DEFERRED(false),
  /** This courier reports it to the platform as undeliverable. */
  UNDELIVERABLE(true),
  /** Its client was answered with a rejection. */
  REJECTED(false),
  /** Its client was answered that it failed. */
  FAILED(true),
  /** Its client disconnected before it was answered, and no attempt had begun. */
  WITHDRAWN(false),
  /** Its client disconnected before it was answered, after an attempt. */
  WITHDRAWN_AFTER_ATTEMPT(true);

  private final boolean mayHaveRun;

  MessageEnd(final boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns the end that an answer states which leaves no further attempt. */
  static MessageEnd of(final MessageDisposition disposition) {
    return switch (disposition) {
      case OVER -> OVER;
      case NO_FURTHER_ATTEMPT -> NO_FURTHER_ATTEMPT;
      case OPEN -> throw new IllegalArgumentException("a message that is open has not ended");
    };
  }

  /** Returns what is known of a message once such an end is in doubt. */
  Evidence evidenceInDoubt() {
    return switch (this) {
      case DELIVERED -> Evidence.MAY_BE_DELIVERED;
      case OVER, NO_FURTHER_ATTEMPT -> Evidence.MAY_BE_OVER;
      default -> throw new IllegalStateException(this + " was not stated by an endpoint");
    };
  }

  /** Returns whether the message was or may have been executed, so that it must not come again. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns the name in the log and in the metrics. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
