package thistleturn.decisions.health;

import java.util.Locale;

/**
 * A courier's own health: whether it runs when it means to, gets enough of a core, and reaches
 * anybody. What it finds late, or not at all, by its own fault is nobody else's. A state is entered
 * and left by stated rules:
 *
 * <table><caption>states, the worst that holds counts</caption>
 * <tr><td>CUT_OFF</td><td>nobody answered for 1 s, two destinations and the platform among those tried; until anybody does</td></tr>
 * <tr><td>STARVED</td><td>away for 0.25 of 4 s, in 4 stretches or more and the longest of them apart; until it is
 * under 0.1 of 4 s</td></tr>
 * <tr><td>AWAY</td><td>until 1 s after a stretch of 0.5 s or more in which it did not run</td></tr>
 * <tr><td>LATE</td><td>until 1 s after a stretch of 0.1 s or more</td></tr>
 * <tr><td>WELL</td><td>else</td></tr>
 * </table>
 *
 * <p>It is driven by moments in which the courier runs; times are microseconds on one clock that
 * only advances.
 */
public final class LocalHealth {
  /** How often a courier with something to do means to run, us: the beat that its host keeps. */
  public static final long TICK_INTERVAL_US = 100_000;

  private static final long SECOND_US = 1_000_000;
  private static final long AWAY_LEAST_US = 500_000;
  private static final long RECENT_US = SECOND_US;
  private static final long SPAN_US = 4 * SECOND_US;
  private static final double STARVED_SHARE = 0.25;
  private static final double FED_SHARE = 0.1;
  private static final int STARVED_TIMES = 4;

  /**
   * Starved, it holds what it ends in so long, us, and so many messages at least: a few are no
   * burden to anybody.
   */
  private static final long HOLDS_US = 2 * SECOND_US;

  private static final int HOLDS_LEAST = 64;

  /**
   * Share of a time measured in which it may have been away: it is learnt from with the others, as
   * noise.
   */
  private static final double MEASURED_SHARE = 0.25;

  /** How a courier is, best first. */
  public enum State {
    WELL,
    LATE,
    AWAY,
    STARVED,
    CUT_OFF
  }

  /**
   * What is said of it.
   *
   * @param state the worst that holds
   * @param sinceUs since when it is the state
   * @param evidence in words, with figures
   * @param pausedShare of the last 4 s
   * @param lastPauseUs how long the last absence took, 0: none of late
   */
  public record Report(
      State state, long sinceUs, String evidence, double pausedShare, long lastPauseUs) {}

  private final PauseDetector pauses = new PauseDetector();
  private final ConnectivityMonitor connectivity = new ConnectivityMonitor();
  private State state = State.WELL;
  private long sinceUs;
  private boolean starved;
  private long ended;
  private long endedBefore;
  private long countedUs;
  private double endsPerSecond;

  /** From that moment on; its start counts as a time in which it ran. */
  public LocalHealth(final long nowUs) {
    sinceUs = nowUs;
    countedUs = nowUs;
    connectivity.recordResponse(nowUs);
  }

  /** It will run by that moment, whatever comes. */
  public void expectRunBy(final long us) {
    pauses.expectRunBy(us);
  }

  /**
   * It runs now.
   *
   * @return for how long before now it did not, though it meant to, us; 0: all was well
   */
  public long recordRun(final long nowUs) {
    final long awayUs = pauses.recordRun(nowUs);
    if (nowUs - countedUs >= SECOND_US) {
      endsPerSecond = (ended - endedBefore) * (double) SECOND_US / (nowUs - countedUs);
      endedBefore = ended;
      countedUs = nowUs;
    }
    if (awayUs > 0 || starved || state != State.WELL) {
      updateState(nowUs);
    }
    return awayUs;
  }

  /** A message came to its end here, whatever the end. */
  public void recordMessageCompleted() {
    ended++;
  }

  /** How many messages came to their end here so far. */
  public long completedMessages() {
    return ended;
  }

  /** A partner or the platform answered, whatever it said. */
  public void recordResponse(final long nowUs) {
    connectivity.recordResponse(nowUs);
  }

  /** A call that was begun then was not answered, and not for want of this courier's own time. */
  public void recordNoResponse(final long destination, final long sentUs, final long nowUs) {
    connectivity.recordNoResponse(destination, sentUs, nowUs);
    updateState(nowUs);
  }

  /** The platform's list, or its taking of ends, could not be had. */
  public void recordPlatformFailure(final long nowUs) {
    connectivity.recordPlatformFailure(nowUs);
    updateState(nowUs);
  }

  /**
   * True if a time from one moment to another was measured while this courier ran, but for a small
   * share of it.
   */
  public boolean wasRunningBetween(final long fromUs, final long toUs) {
    return pauses.pausedUs(fromUs, toUs) <= MEASURED_SHARE * (toUs - fromUs);
  }

  /** True while its own way out is gone; what fails then is no sign of anybody's illness. */
  public boolean isCutOff() {
    return connectivity.isCutOff();
  }

  /** Since when nobody answers, us, while it is cut off. */
  public long cutOffSinceUs() {
    return connectivity.cutOffSinceUs();
  }

  /** How many messages it may hold of so many: starved, no more than it ends in time. */
  public int maxPendingMessages(final int most) {
    return starved
        ? (int) Math.min(most, Math.max(HOLDS_LEAST, endsPerSecond * HOLDS_US / SECOND_US))
        : most;
  }

  /** How it is now. */
  public State state(final long nowUs) {
    updateState(nowUs);
    return state;
  }

  /** How it is now, and why that is said. */
  public Report report(final long nowUs) {
    updateState(nowUs);
    final double share = awayShare(nowUs);
    final PauseDetector.Pause last = pauses.lastPause();
    final long lastUs = last == null ? 0 : last.toUs() - last.fromUs();
    final String evidence =
        switch (state) {
          case WELL -> "runs when it means to";
          case LATE, AWAY ->
              String.format(
                  Locale.ROOT,
                  "did not run for %.2f s, %.2f s ago",
                  lastUs / (double) SECOND_US,
                  (nowUs - (last == null ? nowUs : last.toUs())) / (double) SECOND_US);
          case STARVED ->
              String.format(
                  Locale.ROOT,
                  "did not run for %.0f%% of the last 4 s, in %d stretches",
                  100 * share,
                  pauses.pausesSince(nowUs - SPAN_US));
          case CUT_OFF ->
              String.format(
                  Locale.ROOT,
                  "nobody has answered for %.1f s, of %d destinations and the platform",
                  (nowUs - connectivity.cutOffSinceUs()) / (double) SECOND_US,
                  connectivity.unreachedDestinations());
        };
    return new Report(state, sinceUs, evidence, share, lastUs);
  }

  private double awayShare(final long nowUs) {
    return (double) pauses.pausedUs(nowUs - SPAN_US, nowUs) / SPAN_US;
  }

  /**
   * The same beside the longest absence: one long stop with a few late timers after it is no
   * starvation.
   */
  private double starvedShare(final long nowUs) {
    final long longestUs = pauses.longestPauseUs(nowUs - SPAN_US, nowUs);
    return (double) (pauses.pausedUs(nowUs - SPAN_US, nowUs) - longestUs)
        / Math.max(SPAN_US / 2, SPAN_US - longestUs);
  }

  private void updateState(final long nowUs) {
    final double share = starvedShare(nowUs);
    starved =
        starved
            ? share >= FED_SHARE
            : share >= STARVED_SHARE && pauses.pausesSince(nowUs - SPAN_US) >= STARVED_TIMES;
    final PauseDetector.Pause last = pauses.lastPause();
    final boolean recent = last != null && nowUs - last.toUs() < RECENT_US;
    final State next;
    if (connectivity.isCutOff()) {
      next = State.CUT_OFF;
    } else if (starved) {
      next = State.STARVED;
    } else if (recent) {
      next = last.toUs() - last.fromUs() >= AWAY_LEAST_US ? State.AWAY : State.LATE;
    } else {
      next = State.WELL;
    }
    if (next != state) {
      state = next;
      sinceUs = nowUs;
    }
  }
}
