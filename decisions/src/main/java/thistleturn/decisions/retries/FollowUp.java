package thistleturn.decisions.retries;

import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/**
 * What may follow for a message that has no certain end, by the evidence, the effect of its class
 * and the time left. Each kind of evidence has its own safe side: after one that the message may be
 * over no call follows, since a notice for a message that is over does no harm; after one that it
 * may have run, or may be delivered, its class decides.
 */
public enum FollowUp {
  /** It may be sent again. */
  CALL,
  /** It is not sent before its earlier attempt is known to have ended. */
  WAIT,
  /** Its outcome is reported: its client may safely submit it again. */
  NOTICE_DEFERRED,
  /** Its outcome is reported: it may have run. */
  NOTICE_UNDELIVERABLE;

  /** Returns what may follow. */
  public static FollowUp of(
      final Evidence evidence, final MessageClass messageClass, final TimeLeft timeLeft) {
    return switch (timeLeft) {
      case FOR_CALL -> withTimeForCall(evidence, messageClass);
      case FOR_NOTICE -> notice(evidence, messageClass);
    };
  }

  private static FollowUp withTimeForCall(
      final Evidence evidence, final MessageClass messageClass) {
    return switch (evidence) {
      case NEVER_RAN -> CALL;
      case MAY_HAVE_RUN, MAY_BE_DELIVERED ->
          messageClass.idempotence() == Idempotence.NON_IDEMPOTENT ? NOTICE_UNDELIVERABLE : CALL;
      case MAY_STILL_RUN -> WAIT;
      case HAD_ALL_ATTEMPTS, MAY_BE_OVER -> notice(evidence, messageClass);
    };
  }

  private static FollowUp notice(final Evidence evidence, final MessageClass messageClass) {
    return switch (evidence) {
      case NEVER_RAN, HAD_ALL_ATTEMPTS -> NOTICE_DEFERRED;
      case MAY_HAVE_RUN, MAY_STILL_RUN, MAY_BE_DELIVERED, MAY_BE_OVER ->
          isSafelySubmittedAgain(messageClass) ? NOTICE_DEFERRED : NOTICE_UNDELIVERABLE;
    };
  }

  /** A key that only one zone recognizes does not protect a submission elsewhere. */
  private static boolean isSafelySubmittedAgain(final MessageClass messageClass) {
    return switch (messageClass.idempotence()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENT_BY_KEY -> !messageClass.keyScopedToZone();
      case NON_IDEMPOTENT -> false;
    };
  }
}
