package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.Courier.Result;

/** What the end of a connection says, case by case. */
@Tag("connections")
final class BreakTest {
  private static final double HANDSHAKE = 2_000;

  @Test
  void whatWasNeverWrittenWholeNeverRan() {
    assertEquals(Result.NO_CONNECTION, new Break(false, true, false, 0, HANDSHAKE).result());
    assertEquals(Result.NO_CONNECTION, new Break(false, false, true, 0, HANDSHAKE).result());
  }

  @Test
  void aKeptConnectionThatEndsAtOnceWasDeadBefore() {
    assertEquals(Result.STALE, new Break(true, true, false, 300, HANDSHAKE).result());
    assertEquals(Result.STALE, new Break(true, true, false, Break.LEAST_US, 0).result());
  }

  @Test
  void aFarEndpointIsGivenItsRoundTrips() {
    final double far = 40_000;
    assertEquals(
        Result.STALE, new Break(true, true, false, (long) (Break.ROUND_TRIPS * far), far).result());
    assertEquals(
        Result.RESET,
        new Break(true, true, false, (long) (Break.ROUND_TRIPS * far) + 1, far).result());
  }

  @Test
  void whatEndsLaterOrHadBegunToAnswerOrIsNewMayBeAFailureOfTheEndpoint() {
    assertEquals(
        Result.RESET, new Break(true, true, false, Break.LEAST_US + 1, HANDSHAKE).result());
    assertEquals(Result.RESET, new Break(true, true, true, 300, HANDSHAKE).result());
    assertEquals(Result.RESET, new Break(true, false, false, 300, HANDSHAKE).result());
  }
}
