package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.pools.AnswerTreatment.Completeness;

final class AnswerTreatmentTest {
  @ParameterizedTest
  @EnumSource
  void identifiedAnswer_isCertain(final MessageDisposition disposition) {
    assertEquals(
        AnswerTreatment.CERTAIN, AnswerTreatment.of(Completeness.COMPLETE, disposition, true));
  }

  /** Guards against an end that does not count since its connection was used before. */
  @Test
  void endOnReusedConnection_countsUntilInDoubt() {
    assertEquals(
        AnswerTreatment.COUNTS_UNTIL_IN_DOUBT,
        AnswerTreatment.of(Completeness.COMPLETE, MessageDisposition.OVER, false));
  }

  /** Guards against two attempts at once where a rejection is that of another call. */
  @Test
  void answerThatLeavesMessageOpen_endsItsReusedConnection() {
    assertEquals(
        AnswerTreatment.COUNTS_AFTER_CLOSE,
        AnswerTreatment.of(Completeness.COMPLETE, MessageDisposition.OPEN, false));
  }

  /** Guards against an end that does not count since its body breaks off. */
  @Test
  void endThatIsCutOff_countsUntilInDoubt() {
    assertEquals(
        AnswerTreatment.COUNTS_UNTIL_IN_DOUBT,
        AnswerTreatment.of(Completeness.CUT_OFF, MessageDisposition.OVER, false));
  }

  /** Guards against a message that is lost by half of a copy and its own response. */
  @ParameterizedTest
  @EnumSource
  void spoiltAnswerOnReusedConnection_isForeign(final MessageDisposition disposition) {
    assertEquals(
        AnswerTreatment.FOREIGN, AnswerTreatment.of(Completeness.SPOILT, disposition, false));
    assertEquals(
        AnswerTreatment.CERTAIN, AnswerTreatment.of(Completeness.SPOILT, disposition, true));
  }

  /** Guards against a notice that cannot be taken back, for a message whose call still runs. */
  @Test
  void lastAttemptOnReusedConnection_countsAfterSilence() {
    assertEquals(
        AnswerTreatment.COUNTS_AFTER_SILENCE,
        AnswerTreatment.of(Completeness.COMPLETE, MessageDisposition.NO_FURTHER_ATTEMPT, false));
  }

  @Test
  void lastAttemptThatIsCutOff_hasNoConnectionToWaitFor() {
    assertEquals(
        AnswerTreatment.COUNTS_AFTER_CLOSE,
        AnswerTreatment.of(Completeness.CUT_OFF, MessageDisposition.NO_FURTHER_ATTEMPT, false));
  }
}
