package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.decisions.model.MessageDisposition;

final class AnswerTreatmentTest {
  @ParameterizedTest
  @EnumSource
  void identifiedAnswer_isCertain(final MessageDisposition disposition) {
    assertEquals(AnswerTreatment.CERTAIN, AnswerTreatment.of(disposition, true));
  }

  /** Guards against an end that does not count since its connection was used before. */
  @Test
  void endOnReusedConnection_countsUntilInDoubt() {
    assertEquals(
        AnswerTreatment.COUNTS_UNTIL_IN_DOUBT, AnswerTreatment.of(MessageDisposition.OVER, false));
  }

  /** Guards against two attempts at once where a rejection is that of another call. */
  @Test
  void answerThatLeavesMessageOpen_endsItsReusedConnection() {
    assertEquals(
        AnswerTreatment.COUNTS_AFTER_CLOSE, AnswerTreatment.of(MessageDisposition.OPEN, false));
  }
}
