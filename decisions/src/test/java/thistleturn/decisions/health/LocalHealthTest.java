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

/** The health that a courier derives from the times at which it runs, in virtual time. */
@Tag("health")
final class LocalHealthTest {
  private static final long MS = 1000;
  private static final long SECOND = 1_000_000;

  private long nowUs = 100 * SECOND;
  private final LocalHealth health = new LocalHealth(nowUs);

  /** Runs tick by tick for that time, with the next tick expected; returns the pauses detected. */
  private long run(final long us) {
    final long untilUs = nowUs + us;
    long pausedUs = 0;
    while (nowUs < untilUs) {
      pausedUs += health.recordRun(nowUs);
      health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
      nowUs += Math.min(LocalHealth.TICK_INTERVAL_US, untilUs - nowUs);
    }
    return pausedUs;
  }

  /** Pauses for that time and runs again; returns the pause detected. */
  private long pause(final long us) {
    nowUs += us;
    final long pausedUs = health.recordRun(nowUs);
    health.expectRunBy(nowUs + LocalHealth.TICK_INTERVAL_US);
    return pausedUs;
  }

  @Test
  void processThatRunsOnTime_isWell() {
    assertEquals(0, run(60 * SECOND));
    assertEquals(State.WELL, health.state(nowUs));
    assertEquals("runs when it means to", health.report(nowUs).evidence());
  }

  /** An idle courier has announced no run, so a minute without one is not a pause. */
  @Test
  void idleProcess_isNotPaused() {
    run(SECOND);
    health.recordRun(nowUs);
    nowUs += 60 * SECOND;
    assertEquals(0, health.recordRun(nowUs));
    assertEquals(State.WELL, health.state(nowUs));
  }

  /** Covers pauses of several lengths that begin at any point between two ticks. */
  @ParameterizedTest
  @ValueSource(longs = {50, 150, 300, 1000, 3000, 8000})
  void pause_isMeasuredToATickAndNeverTooLong(final long pauseMs) {
    final Random random = new Random(pauseMs);
    for (int round = 0; round < 200; round++) {
      run(SECOND + random.nextInt((int) LocalHealth.TICK_INTERVAL_US));
      final long detectedUs = pause(pauseMs * MS);
      assertTrue(detectedUs <= pauseMs * MS, detectedUs + " us detected of " + pauseMs + " ms");
      assertTrue(
          detectedUs >= pauseMs * MS - LocalHealth.TICK_INTERVAL_US - PauseDetector.MIN_PAUSE_US
              || (detectedUs == 0 && pauseMs <= 200),
          detectedUs + " us detected of " + pauseMs + " ms");
    }
  }

  @Test
  void longPause_isReportedForOneSecond() {
    run(5 * SECOND);
    assertTrue(pause(3 * SECOND) > 2 * SECOND);
    assertEquals(State.AWAY, health.state(nowUs));
    assertTrue(
        health.report(nowUs).evidence().startsWith("did not run for "),
        health.report(nowUs).evidence());
    run(900 * MS);
    assertEquals(State.AWAY, health.state(nowUs));
    run(200 * MS);
    assertEquals(State.WELL, health.state(nowUs));
  }

  /** A duration is reliable only if it does not include a pause of the courier. */
  @Test
  void durationsMeasuredAcrossAPause_areUnreliable() {
    run(SECOND);
    final long beforeUs = nowUs;
    pause(SECOND);
    assertFalse(health.wasRunningBetween(beforeUs - 50 * MS, nowUs));
    assertTrue(health.wasRunningBetween(beforeUs - 500 * MS, beforeUs));
    run(SECOND);
    assertTrue(health.wasRunningBetween(nowUs - 300 * MS, nowUs));
    // A slow call is still measured if the courier is late by only a small share of it.
    run(2 * SECOND);
    pause(250 * MS);
    assertTrue(
        health.wasRunningBetween(nowUs - 2 * SECOND, nowUs),
        "a slow endpoint measured by a courier that is slightly late");
  }

  /**
   * A process with a twentieth of a core has many short pauses. It accepts only what it can
   * complete, and its state changes at most twice until it recovers.
   */
  @Test
  void starvedProcess_acceptsFewerMessagesUntilItRecovers() {
    run(2 * SECOND);
    assertEquals(1000, health.maxPendingMessages(1000));
    int changes = 0;
    State before = health.state(nowUs);
    for (int slice = 0; slice < 50; slice++) {
      health.recordMessageCompleted();
      pause(380 * MS);
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

  /**
   * After one long pause the limit on pending messages remains the configured one: messages
   * accepted before the pause can still be delivered at once.
   */
  @Test
  void oneLongPause_isNotStarvation() {
    run(5 * SECOND);
    pause(3 * SECOND);
    assertEquals(500, health.maxPendingMessages(500));
    // The same holds with some late timers after it: a process that resumes has a backlog.
    for (int late = 0; late < 6; late++) {
      pause(130 * MS);
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
    assertFalse(health.isCutOff(), "two endpoints may be down");
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
    // Calls from before the last response.
    health.recordNoResponse(1, nowUs - 10 * SECOND, nowUs);
    health.recordNoResponse(2, nowUs - 10 * SECOND, nowUs);
    assertFalse(health.isCutOff(), "calls from before the last response");
  }

  /** The detected total never exceeds the true one, and is short by a bounded amount per pause. */
  @Test
  void randomPausesOverAnHour_addUp() {
    final Random random = new Random(11);
    long trueUs = 0;
    long detectedUs = 0;
    int pauses = 0;
    while (nowUs < 3700 * SECOND) {
      detectedUs += run((long) (random.nextDouble() * 3 * SECOND));
      final long pauseUs = 300 * MS + (long) (random.nextDouble() * 3 * SECOND);
      trueUs += pauseUs;
      pauses++;
      detectedUs += pause(pauseUs);
    }
    assertTrue(
        detectedUs <= trueUs
            && detectedUs
                >= trueUs - pauses * (LocalHealth.TICK_INTERVAL_US + PauseDetector.MIN_PAUSE_US),
        detectedUs + " of " + trueUs);
  }
}
