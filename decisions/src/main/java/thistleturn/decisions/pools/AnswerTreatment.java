package thistleturn.decisions.pools;

import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageDisposition;

/**
 * What becomes of an answer that was read for a call. A complete answer counts as the protocol
 * states; what differs is what has to happen so that it can be taken back if it proves to be that
 * of another call. Of an answer that is not complete only the status is known: that it is the
 * call's own does not show that it is true. Where it may be false, its message counts as one that
 * may have run.
 */
public enum AnswerTreatment {
  /** It is known to be that of the call, and counts as it says. */
  CERTAIN,
  /**
   * It ends its message. The connection stays open, since the call's own answer, if this was not
   * it, would still come there and put it in doubt.
   */
  COUNTS_UNTIL_IN_DOUBT,
  /**
   * It ends the attempts of its message, whose outcome is reported, which cannot be taken back. So
   * it counts once the connection has stayed silent for a moment: the call's own answer, if this
   * was not it, would come there.
   */
  COUNTS_AFTER_SILENCE,
  /**
   * Its message is sent again. The connection ends before that, since the call may still be in
   * flight if this was not its answer.
   */
  COUNTS_AFTER_CLOSE,
  /**
   * It ends the attempts of its message, which may have run all the same: what it states may be
   * false, or said of another message.
   */
  ENDS_ATTEMPTS,
  /** It shows nothing but that its message may have run: the attempt has failed. */
  MAY_HAVE_RUN,
  /** It is parts of two: its message may have run or not, and is sent again. */
  FOREIGN;

  /** What was received of an answer. */
  public enum Completeness {
    COMPLETE,
    /** Its status, and not all of the rest: the endpoint has closed the connection. */
    CUT_OFF,
    /** The same, but the connection is open, and nothing more comes in time. */
    SILENT,
    /** Its status, and something that cannot be part of it, on an open connection. */
    SPOILT
  }

  /**
   * Decides on an answer whose status was received.
   *
   * @param completeness what else of it was received
   * @param result the result that the status states
   * @param disposition what the status says about further attempts of its message
   * @param identified whether the answer is known to be that of the call: it is the first one on
   *     its connection, or it names the messages of the call
   */
  public static AnswerTreatment of(
      final Completeness completeness,
      final AttemptResult result,
      final MessageDisposition disposition,
      final boolean identified) {
    return switch (completeness) {
      case COMPLETE -> ofComplete(disposition, identified);
      case CUT_OFF -> ofCutOff(disposition, identified);
      case SILENT ->
          result == AttemptResult.DELIVERED ? ofEnd(identified) : ofStatusAlone(disposition);
      case SPOILT -> ofSpoilt(result, disposition, identified);
    };
  }

  private static AnswerTreatment ofComplete(
      final MessageDisposition disposition, final boolean identified) {
    if (identified) {
      return CERTAIN;
    }
    return switch (disposition) {
      case OVER -> COUNTS_UNTIL_IN_DOUBT;
      case NO_FURTHER_ATTEMPT -> COUNTS_AFTER_SILENCE;
      case OPEN -> COUNTS_AFTER_CLOSE;
    };
  }

  /** A connection that ends behind a call leaves open whether it ran. */
  private static AnswerTreatment ofCutOff(
      final MessageDisposition disposition, final boolean identified) {
    return switch (disposition) {
      case OVER -> ofEnd(identified);
      case NO_FURTHER_ATTEMPT -> ENDS_ATTEMPTS;
      case OPEN -> MAY_HAVE_RUN;
    };
  }

  private static AnswerTreatment ofEnd(final boolean identified) {
    return identified ? CERTAIN : COUNTS_UNTIL_IN_DOUBT;
  }

  /** Of a spoilt answer only a delivery is true; on a used connection it may be parts of two. */
  private static AnswerTreatment ofSpoilt(
      final AttemptResult result, final MessageDisposition disposition, final boolean identified) {
    if (result == AttemptResult.DELIVERED) {
      return identified ? CERTAIN : FOREIGN;
    }
    final AnswerTreatment treatment = ofStatusAlone(disposition);
    return identified || treatment == ENDS_ATTEMPTS ? treatment : FOREIGN;
  }

  /** A status that may be false shows nothing of what has run. */
  private static AnswerTreatment ofStatusAlone(final MessageDisposition disposition) {
    return disposition == MessageDisposition.OPEN ? MAY_HAVE_RUN : ENDS_ATTEMPTS;
  }
}
