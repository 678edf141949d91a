package thistleturn.decisions.pools;

import thistleturn.decisions.model.MessageDisposition;

/**
 * What becomes of an answer that was read for a call. Every answer counts as the protocol states;
 * what differs is what has to happen so that it can be taken back if it proves to be that of
 * another call.
 */
public enum AnswerTreatment {
  /** It is known to be that of the call. */
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
  /** It is parts of two: its message may have run or not, and is sent again. */
  FOREIGN;

  /** What was received of an answer. */
  public enum Completeness {
    COMPLETE,
    /** Its status, and not all of the rest. */
    CUT_OFF,
    /** Its status, and something that cannot be part of it. */
    SPOILT
  }

  /**
   * Decides on an answer whose status was received.
   *
   * @param completeness what else of it was received
   * @param disposition what the answer says about its message
   * @param identified whether the answer is known to be that of the call: it is the first one on
   *     its connection, or it names the messages of the call
   */
  public static AnswerTreatment of(
      final Completeness completeness,
      final MessageDisposition disposition,
      final boolean identified) {
    if (identified) {
      return CERTAIN;
    }
    if (completeness == Completeness.SPOILT) {
      return FOREIGN;
    }
    return switch (disposition) {
      case OVER -> COUNTS_UNTIL_IN_DOUBT;
      case NO_FURTHER_ATTEMPT ->
          completeness == Completeness.COMPLETE ? COUNTS_AFTER_SILENCE : COUNTS_AFTER_CLOSE;
      case OPEN -> COUNTS_AFTER_CLOSE;
    };
  }
}
