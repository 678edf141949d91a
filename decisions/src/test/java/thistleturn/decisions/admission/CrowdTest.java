package thistleturn.decisions.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.admission.Crowd.State;

/** Who makes room in a crowd, and who does not. */
@Tag("operators")
final class CrowdTest {
  private static final long IDLE_US = 2_100_000;
  private static final long NOW_US = 50_000_000;

  private final Crowd crowd = new Crowd(IDLE_US);

  private int rank(final State state, final long ageUs, final long byteAgeUs) {
    return crowd.rank(state, NOW_US - ageUs, NOW_US - byteAgeUs, NOW_US);
  }

  @Test
  void aRequestThatIsServedOrStillComesInPiecesIsKept() {
    assertEquals(Crowd.KEEP, rank(State.SERVED, 5 * IDLE_US, 5 * IDLE_US));
    assertEquals(
        Crowd.KEEP,
        rank(State.COMING_IN, IDLE_US, Crowd.STALL_US / 2),
        "old, but it goes on writing");
  }

  @Test
  void theOrderIsRejectedSilentStalledIdleAndLastWhoHasOnlyJustConnected() {
    final int[] ranks = {
      rank(State.REJECTED, 0, 0),
      rank(State.SILENT, Crowd.SILENT_US, 0),
      rank(State.COMING_IN, 0, Crowd.STALL_US),
      rank(State.ANSWERED, IDLE_US, 0),
      rank(State.SILENT, Crowd.SILENT_US - 1, 0)
    };
    for (int place = 1; place < ranks.length; place++) {
      assertTrue(ranks[place - 1] < ranks[place] && ranks[place] < Crowd.KEEP, "place " + place);
    }
  }

  @Test
  void whereNobodyAsksAgainAnAnsweredConnectionGoesAtOnceAndWhereTheyDoItIsKept() {
    assertEquals(Crowd.KEEP, rank(State.ANSWERED, 0, 0), "nothing is known yet");
    for (int count = 0; count < 60; count++) {
      crowd.learn(false);
    }
    assertTrue(rank(State.ANSWERED, 0, 0) < Crowd.KEEP);
    for (int count = 0; count < 20; count++) {
      crowd.learn(count % 2 == 0);
    }
    assertEquals(Crowd.KEEP, rank(State.ANSWERED, 0, 0));
  }
}
