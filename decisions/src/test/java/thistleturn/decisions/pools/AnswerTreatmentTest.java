package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.pools.AnswerTreatment.Completeness;

final class AnswerTreatmentTest {
  /** What a status says. */
  enum Status {
    DELIVERED(AttemptResult.DELIVERED, MessageDisposition.OVER),
    GONE(AttemptResult.NOT_SENT, MessageDisposition.OVER),
    NO_MORE(AttemptResult.NOT_SENT, MessageDisposition.NO_FURTHER_ATTEMPT),
    REJECTED(AttemptResult.REFUSED, MessageDisposition.OPEN),
    FAULT(AttemptResult.ERROR, MessageDisposition.OPEN);

    private final AttemptResult result;
    private final MessageDisposition disposition;

    Status(final AttemptResult result, final MessageDisposition disposition) {
      this.result = result;
      this.disposition = disposition;
    }
  }

  private static AnswerTreatment treatment(
      final Completeness completeness, final Status status, final boolean identified) {
    return AnswerTreatment.of(completeness, status.result, status.disposition, identified);
  }

  @ParameterizedTest
  @EnumSource
  void identifiedAnswer_isCertain(final Status status) {
    assertEquals(AnswerTreatment.CERTAIN, treatment(Completeness.COMPLETE, status, true));
  }

  /**
   * Guards against a call behind an answer whose status states an end, whatever came of the rest.
   */
  @ParameterizedTest
  @EnumSource
  void statedEnd_leavesNoFurtherAttempt(final Completeness completeness) {
    for (final Status status : new Status[] {Status.GONE, Status.NO_MORE}) {
      for (final boolean identified : new boolean[] {true, false}) {
        final AnswerTreatment treatment = treatment(completeness, status, identified);
        assertTrue(
            treatment != AnswerTreatment.MAY_HAVE_RUN
                && treatment != AnswerTreatment.FOREIGN
                && treatment != AnswerTreatment.COUNTS_AFTER_CLOSE,
            () -> status + ", " + completeness + ": " + treatment);
      }
    }
  }

  /** Guards against an end that does not count since its connection was used before. */
  @Test
  void endOnReusedConnection_countsUntilInDoubt() {
    assertEquals(
        AnswerTreatment.COUNTS_UNTIL_IN_DOUBT,
        treatment(Completeness.COMPLETE, Status.GONE, false));
  }

  /** Guards against two attempts at once where a rejection is that of another call. */
  @Test
  void answerThatLeavesMessageOpen_endsItsReusedConnection() {
    assertEquals(
        AnswerTreatment.COUNTS_AFTER_CLOSE,
        treatment(Completeness.COMPLETE, Status.REJECTED, false));
  }

  /** Guards against an end that does not count since its body breaks off. */
  @Test
  void endThatIsCutOff_countsUntilInDoubt() {
    assertEquals(
        AnswerTreatment.COUNTS_UNTIL_IN_DOUBT, treatment(Completeness.CUT_OFF, Status.GONE, false));
    assertEquals(AnswerTreatment.CERTAIN, treatment(Completeness.CUT_OFF, Status.GONE, true));
  }

  /** Guards against a message that is lost by half of a copy and its own response. */
  @ParameterizedTest
  @CsvSource({
    "DELIVERED, FOREIGN",
    "GONE, ENDS_ATTEMPTS",
    "NO_MORE, ENDS_ATTEMPTS",
    "REJECTED, FOREIGN",
    "FAULT, FOREIGN"
  })
  void spoiltAnswerOnReusedConnection_isForeignUnlessItStatesAnEnd(
      final Status status, final AnswerTreatment expected) {
    assertEquals(expected, treatment(Completeness.SPOILT, status, false));
  }

  /** Guards against a message that ran and is refused, since a spoilt status said otherwise. */
  @ParameterizedTest
  @CsvSource({
    "DELIVERED, CERTAIN",
    "GONE, ENDS_ATTEMPTS",
    "NO_MORE, ENDS_ATTEMPTS",
    "REJECTED, MAY_HAVE_RUN",
    "FAULT, MAY_HAVE_RUN"
  })
  void spoiltAnswerOfTheCall_isTrueOnlyAsDelivery(
      final Status status, final AnswerTreatment expected) {
    assertEquals(expected, treatment(Completeness.SPOILT, status, true));
    assertEquals(expected, treatment(Completeness.SILENT, status, true));
  }

  /** Guards against the same where the rest of the answer does not come on a used connection. */
  @ParameterizedTest
  @CsvSource({
    "DELIVERED, COUNTS_UNTIL_IN_DOUBT",
    "GONE, ENDS_ATTEMPTS",
    "NO_MORE, ENDS_ATTEMPTS",
    "REJECTED, MAY_HAVE_RUN",
    "FAULT, MAY_HAVE_RUN"
  })
  void silentAnswerOnReusedConnection_isTrueOnlyAsDelivery(
      final Status status, final AnswerTreatment expected) {
    assertEquals(expected, treatment(Completeness.SILENT, status, false));
  }

  /** Guards against a notice that cannot be taken back, for a message whose call still runs. */
  @Test
  void lastAttemptOnReusedConnection_countsAfterSilence() {
    assertEquals(
        AnswerTreatment.COUNTS_AFTER_SILENCE,
        treatment(Completeness.COMPLETE, Status.NO_MORE, false));
  }

  /** Guards against an attempt behind a 504 that breaks off, and against a refusal behind it. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void lastAttemptThatIsCutOff_endsAttemptsAndMayHaveRun(final boolean identified) {
    assertEquals(
        AnswerTreatment.ENDS_ATTEMPTS, treatment(Completeness.CUT_OFF, Status.NO_MORE, identified));
  }

  /** Guards against a rejection that is believed though its connection has ended. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void rejectionThatIsCutOff_mayHaveRun(final boolean identified) {
    assertEquals(
        AnswerTreatment.MAY_HAVE_RUN, treatment(Completeness.CUT_OFF, Status.REJECTED, identified));
  }
}
