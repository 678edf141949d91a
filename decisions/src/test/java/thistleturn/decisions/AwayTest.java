package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.Courier.Result;

/** Decisions of a courier that did not run for a while: its own lateness is nobody's silence. */
@Tag("health")
final class AwayTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;
  private static final int SAFE = 0;

  private static int silent(final Scene one) {
    return one.control.lanes().get(0).silent();
  }

  /** Calls out on one destination, taught what they take; then nothing is heard for so long. */
  private static Scene busy() {
    final Scene one = Scene.withTwoEndpoints(Scene.settings());
    for (int index = 0; index < 80; index++) {
      one.take("t" + index, SAFE);
      one.pass(50 * MS);
      one.end("t" + index, Result.DELIVERED);
    }
    for (int index = 0; index < 4; index++) {
      one.take("m" + index, SAFE);
    }
    return one;
  }

  private static void resume(final Scene one, final long pauseUs, final boolean told) {
    one.nowUs += pauseUs;
    if (told) {
      one.control.onAway(one.nowUs, pauseUs);
    }
    one.control.decide(one.nowUs);
  }

  @Test
  void callsThatWereOutWhileItWasAwayAreNotSilent() {
    final Scene untold = busy();
    resume(untold, 3 * SECOND, false);
    assertTrue(silent(untold) > 0, "without a word its partner is silent");
    final Scene told = busy();
    resume(told, 3 * SECOND, true);
    assertEquals(0, silent(told));
    for (int index = 0; index < 4; index++) {
      if (told.count("m" + index) > 0) {
        told.end("m" + index, Result.DELIVERED);
      }
    }
    told.take("next", SAFE);
    assertEquals(1, told.count("next"), "as before, at once");
  }

  /**
   * Both are found: the stop, and a partner that fell silent in the same moment, by as much later.
   */
  @Test
  void aPartnerThatFellSilentMeanwhileIsFoundAllTheSame() {
    final Scene one = busy();
    resume(one, 3 * SECOND, true);
    one.pass(2 * SECOND);
    assertTrue(silent(one) > 0, "not found");
  }

  /** What was not measured is not learnt: windows, times and time-outs are as before. */
  @Test
  void timesMeasuredWhileAwayAreNotLearnt() {
    final Scene one = busy();
    final double before = one.control.memory().classMeanUs()[SAFE];
    resume(one, 3 * SECOND, true);
    for (int index = 0; index < 4 && one.count("m" + index) > 0; index++) {
      one.control.onOutcome(
          one.nowUs,
          new Courier.Outcome(
              "m" + index, Result.DELIVERED, true, one.last("m" + index).endpoint(), -1, 0, null));
    }
    one.control.decide(one.nowUs);
    assertEquals(before, one.control.memory().classMeanUs()[SAFE]);
    one.pass(2 * SECOND);
    one.take("next", SAFE);
    assertTrue(
        one.last("next").timeoutUs() < 3 * SECOND, "time-out " + one.last("next").timeoutUs());
  }

  private static Scene cut() {
    final Scene one = busy();
    for (int index = 0; index < 4; index++) {
      if (one.count("m" + index) > 0) {
        one.end("m" + index, Result.DELIVERED);
      }
    }
    return one;
  }

  /** All calls of a few seconds fail: for want of a way out, or for the destination's outage. */
  private static void fail(final Scene one, final String prefix) {
    for (int index = 0; index < 12; index++) {
      final String id = prefix + index;
      one.take(id, SAFE);
      if (one.count(id) > 0) {
        one.end(id, Result.NO_CONNECTION);
      }
      one.pass(200 * MS);
    }
    assertEquals("OUT", one.control.lanes().get(0).phase());
  }

  /** Cut off, it had sent everybody out; back, it goes on as before, without a trial or a ramp. */
  @Test
  void whoWasSentOutForWantOfAWayOutIsBackAtOnce() {
    final Scene one = cut();
    final long sinceUs = one.nowUs;
    one.pass(10 * MS);
    fail(one, "f");
    one.control.onReached(one.nowUs, sinceUs);
    one.control.decide(one.nowUs);
    assertEquals("WELL", one.control.lanes().get(0).phase());
    one.pass(SECOND);
    assertTrue(
        one.sent.stream().anyMatch(send -> send.atUs() >= one.nowUs - SECOND), "nothing goes");
  }

  /** A destination whose outage is older than that stays out, and returns by trial and ramp. */
  @Test
  void anOlderOutageIsNotForgottenWithIt() {
    final Scene one = cut();
    fail(one, "f");
    final long sinceUs = one.nowUs;
    one.pass(SECOND);
    one.control.onReached(one.nowUs, sinceUs);
    one.control.decide(one.nowUs);
    assertEquals("OUT", one.control.lanes().get(0).phase());
  }

  /**
   * Late, it ends what waits and is out of time before it reads anything; what is out may have its
   * answer lying there.
   */
  @Test
  void whatWaitsAndIsOutOfTimeIsEndedAheadOfThePass() {
    final Scene one = Scene.withTwoEndpoints(Scene.settings());
    for (int index = 0; index < 5; index++) {
      one.take("m" + index, SAFE, null, SECOND);
    }
    final long out = one.sent.size();
    assertTrue(out > 0 && out < 5, "out: " + out);
    // The process stands still: nobody calls.
    one.nowUs += 3 * SECOND;
    one.control.onLate(one.nowUs);
    assertEquals(5 - out, one.refused.size());
    assertTrue(
        one.sent.stream().noneMatch(send -> one.refused.contains(send.id())),
        "one whose call is out");
    one.control.onLate(one.nowUs);
    assertEquals(5 - out, one.refused.size(), "each has one end");
    assertEquals(out, one.sent.size(), "nothing is sent by it");
  }
}
