package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptResult;

/** The result of a call that lost its connection, in each case. */
@Tag("connections")
final class ConnectionLossTest {
  private static final double HANDSHAKE = 2_000;

  @Test
  void unwrittenRequest_isNoConnection() {
    assertEquals(
        AttemptResult.NO_CONNECTION, new ConnectionLoss(false, true, false, 0, HANDSHAKE).result());
    assertEquals(
        AttemptResult.NO_CONNECTION, new ConnectionLoss(false, false, true, 0, HANDSHAKE).result());
  }

  @Test
  void reusedConnectionLostAtOnce_isStale() {
    assertEquals(
        AttemptResult.STALE, new ConnectionLoss(true, true, false, 300, HANDSHAKE).result());
    assertEquals(
        AttemptResult.STALE,
        new ConnectionLoss(true, true, false, ConnectionLoss.MIN_STALE_WINDOW_US, 0).result());
  }

  @Test
  void distantEndpoint_hasLongerStaleWindow() {
    final double handshakeUs = 40_000;
    assertEquals(
        AttemptResult.STALE,
        new ConnectionLoss(
                true,
                true,
                false,
                (long) (ConnectionLoss.STALE_WINDOW_ROUND_TRIPS * handshakeUs),
                handshakeUs)
            .result());
    assertEquals(
        AttemptResult.RESET,
        new ConnectionLoss(
                true,
                true,
                false,
                (long) (ConnectionLoss.STALE_WINDOW_ROUND_TRIPS * handshakeUs) + 1,
                handshakeUs)
            .result());
  }

  @Test
  void laterLossStartedResponseOrNewConnection_isReset() {
    assertEquals(
        AttemptResult.RESET,
        new ConnectionLoss(true, true, false, ConnectionLoss.MIN_STALE_WINDOW_US + 1, HANDSHAKE)
            .result());
    assertEquals(
        AttemptResult.RESET, new ConnectionLoss(true, true, true, 300, HANDSHAKE).result());
    assertEquals(
        AttemptResult.RESET, new ConnectionLoss(true, false, false, 300, HANDSHAKE).result());
  }
}
