package thistleturn.decisions.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.admission.ConnectionEvictionRanking.ConnectionState;

/** Which connections may be evicted, and in which order. */
@Tag("operators")
final class ConnectionEvictionRankingTest {
  private static final long IDLE_US = 2_100_000;
  private static final long NOW_US = 50_000_000;

  private final ConnectionEvictionRanking ranking = new ConnectionEvictionRanking(IDLE_US);

  private int rank(final ConnectionState state, final long ageUs, final long byteAgeUs) {
    return ranking.rank(state, NOW_US - ageUs, NOW_US - byteAgeUs, NOW_US);
  }

  @Test
  void requestInProgress_isNeverEvicted() {
    assertEquals(
        ConnectionEvictionRanking.NEVER_EVICT,
        rank(ConnectionState.PROCESSING_REQUEST, 5 * IDLE_US, 5 * IDLE_US));
    assertEquals(
        ConnectionEvictionRanking.NEVER_EVICT,
        rank(
            ConnectionState.RECEIVING_REQUEST,
            IDLE_US,
            ConnectionEvictionRanking.STALLED_AFTER_US / 2),
        "old, but still receiving the request");
  }

  @Test
  void evictionOrder_isRejectedNoRequestStalledIdleThenNew() {
    final int[] ranks = {
      rank(ConnectionState.REJECTED, 0, 0),
      rank(ConnectionState.NO_REQUEST_YET, ConnectionEvictionRanking.FIRST_REQUEST_GRACE_US, 0),
      rank(ConnectionState.RECEIVING_REQUEST, 0, ConnectionEvictionRanking.STALLED_AFTER_US),
      rank(ConnectionState.IDLE_AFTER_RESPONSE, IDLE_US, 0),
      rank(ConnectionState.NO_REQUEST_YET, ConnectionEvictionRanking.FIRST_REQUEST_GRACE_US - 1, 0)
    };
    for (int position = 1; position < ranks.length; position++) {
      assertTrue(
          ranks[position - 1] < ranks[position]
              && ranks[position] < ConnectionEvictionRanking.NEVER_EVICT,
          "position " + position);
    }
  }

  @Test
  void idleConnection_isEvictedOnlyIfClientsDoNotReuseConnections() {
    assertEquals(
        ConnectionEvictionRanking.NEVER_EVICT,
        rank(ConnectionState.IDLE_AFTER_RESPONSE, 0, 0),
        "before anything is learned");
    for (int count = 0; count < 60; count++) {
      ranking.recordReuse(false);
    }
    assertTrue(
        rank(ConnectionState.IDLE_AFTER_RESPONSE, 0, 0) < ConnectionEvictionRanking.NEVER_EVICT);
    for (int count = 0; count < 20; count++) {
      ranking.recordReuse(count % 2 == 0);
    }
    assertEquals(
        ConnectionEvictionRanking.NEVER_EVICT, rank(ConnectionState.IDLE_AFTER_RESPONSE, 0, 0));
  }
}
