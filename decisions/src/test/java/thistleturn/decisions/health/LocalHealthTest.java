package thistleturn.decisions.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.decisions.health.LocalHealth.State;

/** A courier's own health from the moments in which it runs, in virtual time. */
@Tag("health")
final class LocalHealthTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;

  private long nowUs = 100 * SECOND;
  private final LocalHealth health = new LocalHealth(nowUs);

  /** It runs, beat by beat, for so long; then it means to run again. */
  private long run(final long us) {
    final long untilUs = nowUs + us;
    long awayUs = 0;
    while (nowUs < untilUs) {
      awayUs += health.recordRun(nowUs);
      health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
      nowUs += Math.min(LocalHealth.TICK_INTERVAL_US, untilUs - nowUs);
    }
    return awayUs;
  }

  /** It stands still for so long, and runs; what it finds then. */
  private long stop(final long us) {
    nowUs += us;
    final long awayUs = health.recordRun(nowUs);
    health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
    return awayUs;
  }

  @Test
  void processThatRunsOnTime_isWell() {
    assertEquals(0, run(60 * SECOND));
    assertEquals(State.WELL, health.state(nowUs));
    assertEquals("runs when it means to", health.report(nowUs).evidence());
  }

  /** An idle courier promises nothing: a quiet minute is no absence. */
  @Test
  void idleProcess_isNotPaused() {
    run(SECOND);
    health.recordRun(nowUs);
    nowUs += 60 * SECOND;
    assertEquals(0, health.recordRun(nowUs));
    assertEquals(State.WELL, health.state(nowUs));
  }

  /**
   * Found to a beat and no longer than it was, whatever its length and wherever in a beat it
   * begins.
   */
  @ParameterizedTest
  @ValueSource(longs = {50, 150, 300, 1000, 3000, 8000})
  void pause_isMeasuredToATickAndNeverTooLong(final long pauseMs) {
    final Random random = new Random(pauseMs);
    for (int round = 0; round < 200; round++) {
      run(SECOND + random.nextInt((int) LocalHealth.TICK_INTERVAL_US));
      final long foundUs = stop(pauseMs * MS);
      assertTrue(foundUs <= pauseMs * MS, foundUs + " us found of " + pauseMs + " ms");
      assertTrue(
          foundUs >= pauseMs * MS - LocalHealth.TICK_INTERVAL_US - PauseDetector.MIN_PAUSE_US
              || (foundUs == 0 && pauseMs <= 200),
          foundUs + " us found of " + pauseMs + " ms");
    }
  }

  @Test
  void longPause_isReportedForOneSecond() {
    run(5 * SECOND);
    assertTrue(stop(3 * SECOND) > 2 * SECOND);
    assertEquals(State.AWAY, health.state(nowUs));
    assertTrue(
        health.report(nowUs).evidence().startsWith("did not run for "),
        health.report(nowUs).evidence());
    run(900 * MS);
    assertEquals(State.AWAY, health.state(nowUs));
    run(200 * MS);
    assertEquals(State.WELL, health.state(nowUs));
  }

  /** What was measured over an absence says nothing of a partner; what lies beside it does. */
  @Test
  void durationsMeasuredAcrossAPause_areUnreliable() {
    run(SECOND);
    final long beforeUs = nowUs;
    stop(SECOND);
    assertFalse(health.wasRunningBetween(beforeUs - 50 * MS, nowUs));
    assertTrue(health.wasRunningBetween(beforeUs - 500 * MS, beforeUs));
    run(SECOND);
    assertTrue(health.wasRunningBetween(nowUs - 300 * MS, nowUs));
    // A slow call is still read by one that is a little late.
    run(2 * SECOND);
    stop(250 * MS);
    assertTrue(
        health.wasRunningBetween(nowUs - 2 * SECOND, nowUs),
        "a truly slow partner while the courier is a little late");
  }

  /**
   * A twentieth of a core: many short absences. It holds what it can end, and recovers without
   * flapping.
   */
  @Test
  void starvedProcess_acceptsFewerMessagesUntilItRecovers() {
    run(2 * SECOND);
    assertEquals(1000, health.maxPendingMessages(1000));
    int changes = 0;
    State before = health.state(nowUs);
    for (int slice = 0; slice < 50; slice++) {
      health.recordMessageCompleted();
      stop(380 * MS);
      run(20 * MS);
      changes += health.state(nowUs) == before ? 0 : 1;
      before = health.state(nowUs);
    }
    assertEquals(State.STARVED, before);
    assertTrue(changes <= 2, changes + " changes");
    assertTrue(
        health.maxPendingMessages(1000) <= 64, "may hold " + health.maxPendingMessages(1000));
    assertTrue(
        health.report(nowUs).evidence().contains("stretches"), health.report(nowUs).evidence());
    run(5 * SECOND);
    assertEquals(State.WELL, health.state(nowUs));
    assertEquals(1000, health.maxPendingMessages(1000));
  }

  /** One long stop is no starvation: what was taken on before it can still be delivered at once. */
  @Test
  void oneLongPause_isNotStarvation() {
    run(5 * SECOND);
    stop(3 * SECOND);
    assertEquals(500, health.maxPendingMessages(500));
    // Nor is it one with some late timers behind it, as a cold process has them that wakes to a
    // backlog.
    for (int late = 0; late < 6; late++) {
      stop(130 * MS);
      run(60 * MS);
    }
    assertEquals(500, health.maxPendingMessages(500));
  }

  @Test
  void noResponseFromAnyone_isCutOffOnlyIfThePlatformFailsToo() {
    run(5 * SECOND);
    health.recordResponse(nowUs);
    final long lastUs = nowUs;
    run(1200 * MS);
    health.recordNoResponse(1, lastUs + 100 * MS, nowUs);
    health.recordNoResponse(2, lastUs + 100 * MS, nowUs);
    assertFalse(health.isCutOff(), "two partners may be down");
    health.recordPlatformFailure(nowUs);
    assertTrue(health.isCutOff());
    assertEquals(State.CUT_OFF, health.state(nowUs));
    assertEquals(lastUs, health.cutOffSinceUs());
    run(SECOND);
    health.recordResponse(nowUs);
    assertFalse(health.isCutOff());
    assertEquals(State.WELL, health.state(nowUs));
  }

  @Test
  void oneDestinationOrThePlatformAlone_isNotCutOff() {
    run(5 * SECOND);
    for (int call = 0; call < 20; call++) {
      run(200 * MS);
      health.recordNoResponse(7, nowUs - 100 * MS, nowUs);
      health.recordPlatformFailure(nowUs);
    }
    assertFalse(health.isCutOff(), "one destination");
    health.recordResponse(nowUs);
    run(2 * SECOND);
    health.recordPlatformFailure(nowUs);
    assertFalse(health.isCutOff(), "the platform alone");
    // A call from before the last answer is a straggler.
    health.recordNoResponse(1, nowUs - 10 * SECOND, nowUs);
    health.recordNoResponse(2, nowUs - 10 * SECOND, nowUs);
    assertFalse(health.isCutOff(), "stragglers");
  }

  /**
   * Random stops over an hour: what is found is never more than what was, nor less by more than a
   * beat each.
   */
  @Test
  void randomPausesOverAnHour_addUp() {
    final Random random = new Random(11);
    long trueUs = 0;
    long foundUs = 0;
    int stops = 0;
    while (nowUs < 3700 * SECOND) {
      foundUs += run((long) (random.nextDouble() * 3 * SECOND));
      final long pauseUs = 300 * MS + (long) (random.nextDouble() * 3 * SECOND);
      trueUs += pauseUs;
      stops++;
      foundUs += stop(pauseUs);
    }
    assertTrue(
        foundUs <= trueUs
            && foundUs
                >= trueUs - stops * (LocalHealth.TICK_INTERVAL_US + PauseDetector.MIN_PAUSE_US),
        foundUs + " of " + trueUs);
  }
}
