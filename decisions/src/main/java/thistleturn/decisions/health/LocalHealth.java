package thistleturn.decisions.health;

import java.util.Locale;

/**
 * A courier's own health: whether it runs when scheduled, gets enough processor time, and has a
 * working network. What it observes late, or not at all, by its own fault must not be attributed to
 * an endpoint. The state is the worst that applies:
 *
 * <table>
 * <caption>states</caption>
 * <tr><td>CUT_OFF</td><td>no response for 1 s, while calls to two destinations and to the platform
 * failed; until any response arrives</td></tr>
 * <tr><td>STARVED</td><td>paused for 0.25 of the last 4 s or more, in 4 pauses or more, not counting
 * the longest of them; until that share is below 0.1</td></tr>
 * <tr><td>AWAY</td><td>until 1 s after a pause of 0.5 s or more</td></tr>
 * <tr><td>LATE</td><td>until 1 s after a pause of 0.1 s or more</td></tr>
 * <tr><td>WELL</td><td>otherwise</td></tr>
 * </table>
 *
 * <p>The owner reports the times at which the courier runs. Times are in microseconds on one
 * monotonic clock.
 */
public final class LocalHealth {
  /** The tick interval at which a courier with work to do is scheduled to run, us. */
  public static final long TICK_INTERVAL_US = 100_000;

  static final long SECOND_US = 1_000_000;

  /** Minimum length of a pause for the state AWAY; shorter ones give LATE. */
  private static final long AWAY_PAUSE_US = 500_000;

  /** How long after its end a pause determines the state. */
  private static final long RECENT_US = SECOND_US;

  /** The period over which starvation is measured. */
  private static final long WINDOW_US = 4 * SECOND_US;

  private static final double STARVED_SHARE = 0.25;
  private static final double RECOVERED_SHARE = 0.1;
  private static final int STARVED_PAUSES = 4;

  /** A starved courier holds at most as many pending messages as it completes in this time. */
  private static final long STARVED_BACKLOG_US = 2 * SECOND_US;

  /** A starved courier may hold this many pending messages in any case: so few are no burden. */
  private static final int STARVED_MIN_MESSAGES = 64;

  /** Share of a measured time that a pause may take without making the measurement unreliable. */
  private static final double TOLERATED_PAUSED_SHARE = 0.25;

  /**
   * A courier's state, best first. The names are part of the operators' JSON, and the ordinals of
   * the messages between couriers.
   */
  public enum State {
    /** It runs when scheduled, and its network works. */
    WELL,
    /** It had a short pause (0.1 s or more) within the last second. */
    LATE,
    /** It had a long pause (0.5 s or more) within the last second. */
    AWAY,
    /** It gets too little processor time. */
    STARVED,
    /** It has lost its network connection. */
    CUT_OFF
  }

  /**
   * The state with its evidence.
   *
   * @param state the worst state that applies
   * @param sinceUs when the courier entered that state
   * @param evidence an explanation with figures, for operators
   * @param pausedShare share of the last 4 s in which the courier was paused
   * @param lastPauseUs duration of the last remembered pause; 0 if there is none
   */
  public record Report(
      State state, long sinceUs, String evidence, double pausedShare, long lastPauseUs) {}

  private final PauseDetector pauses = new PauseDetector();
  private final ConnectivityMonitor connectivity = new ConnectivityMonitor();
  private final CompletionRate completions;
  private State state = State.WELL;
  private long stateSinceUs;
  private boolean starved;

  /** Creates the health of a courier that starts now: running on time and connected. */
  public LocalHealth(final long nowUs) {
    stateSinceUs = nowUs;
    completions = new CompletionRate(nowUs);
    connectivity.recordResponse(nowUs);
  }

  // ---------------------------------------------------------------- observations

  /** Announces that the courier is scheduled to run by that time at the latest. */
  public void expectRunBy(final long atUs) {
    pauses.expectRunBy(atUs);
  }

  /**
   * Records that the courier runs now.
   *
   * @return for how long before now it was paused though scheduled to run, us; 0 if it was not
   */
  public long recordRun(final long nowUs) {
    final long pausedUs = pauses.recordRun(nowUs);
    completions.update(nowUs);
    if (pausedUs > 0 || starved || state != State.WELL) {
      updateState(nowUs);
    }
    return pausedUs;
  }

  /** Records that a message was completed here, whatever its outcome. */
  public void recordMessageCompleted() {
    completions.recordCompleted();
  }

  /** Records a response from an endpoint or the platform, whatever its content. */
  public void recordResponse(final long nowUs) {
    connectivity.recordResponse(nowUs);
  }

  /** Records that a call begun at {@code sentUs} was not answered, without a pause here. */
  public void recordNoResponse(final long destination, final long sentUs, final long nowUs) {
    connectivity.recordNoResponse(destination, sentUs, nowUs);
    updateState(nowUs);
  }

  /**
   * Records that the platform's endpoint list could not be read, or outcomes not reported to it.
   */
  public void recordPlatformFailure(final long nowUs) {
    connectivity.recordPlatformFailure(nowUs);
    updateState(nowUs);
  }

  // ---------------------------------------------------------------- conclusions

  /** Returns true if the courier was running in that period except for a small share of it. */
  public boolean wasRunningBetween(final long fromUs, final long toUs) {
    return pauses.pausedUs(fromUs, toUs) <= TOLERATED_PAUSED_SHARE * (toUs - fromUs);
  }

  /** Returns true while the network is lost; failures then give no evidence about endpoints. */
  public boolean isCutOff() {
    return connectivity.isCutOff();
  }

  /** Returns the time of the last response, us; only meaningful while the courier is cut off. */
  public long cutOffSinceUs() {
    return connectivity.cutOffSinceUs();
  }

  /** Returns how many messages were completed here so far. */
  public long completedMessages() {
    return completions.completed();
  }

  /**
   * Returns how many pending messages the courier may hold: while starved, no more than it
   * completes in 2 s, but at least 64.
   *
   * @param configured the limit that applies otherwise, and is never exceeded
   */
  public int maxPendingMessages(final int configured) {
    if (!starved) {
      return configured;
    }
    final double affordable = completions.perSecond() * STARVED_BACKLOG_US / SECOND_US;
    return (int) Math.min(configured, Math.max(STARVED_MIN_MESSAGES, affordable));
  }

  /** Returns the state now. */
  public State state(final long nowUs) {
    updateState(nowUs);
    return state;
  }

  /** Returns the state now, with its evidence. */
  public Report report(final long nowUs) {
    updateState(nowUs);
    final double pausedShare = (double) pauses.pausedUs(nowUs - WINDOW_US, nowUs) / WINDOW_US;
    final PauseDetector.Pause last = pauses.lastPause();
    final long lastPauseUs = last == null ? 0 : last.durationUs();
    return new Report(state, stateSinceUs, evidence(nowUs, pausedShare), pausedShare, lastPauseUs);
  }

  private String evidence(final long nowUs, final double pausedShare) {
    return switch (state) {
      case WELL -> "runs when it means to";
      case LATE, AWAY -> pauseEvidence(nowUs);
      case STARVED ->
          String.format(
              Locale.ROOT,
              "did not run for %.0f%% of the last 4 s, in %d stretches",
              100 * pausedShare,
              pauses.pausesSince(nowUs - WINDOW_US));
      case CUT_OFF ->
          String.format(
              Locale.ROOT,
              "nobody has answered for %.1f s, of %d destinations and the platform",
              seconds(nowUs - connectivity.cutOffSinceUs()),
              connectivity.unreachedDestinations());
    };
  }

  private String pauseEvidence(final long nowUs) {
    final PauseDetector.Pause last = pauses.lastPause();
    return String.format(
        Locale.ROOT,
        "did not run for %.2f s, %.2f s ago",
        seconds(last.durationUs()),
        seconds(nowUs - last.toUs()));
  }

  private static double seconds(final long us) {
    return us / (double) SECOND_US;
  }

  // ---------------------------------------------------------------- state

  private void updateState(final long nowUs) {
    updateStarved(nowUs);
    final State next = worstState(nowUs);
    if (next != state) {
      state = next;
      stateSinceUs = nowUs;
    }
  }

  private void updateStarved(final long nowUs) {
    final double share = starvationShare(nowUs);
    starved =
        starved
            ? share >= RECOVERED_SHARE
            : share >= STARVED_SHARE && pauses.pausesSince(nowUs - WINDOW_US) >= STARVED_PAUSES;
  }

  /**
   * Returns the share of the window in which the courier was paused, without the longest pause: one
   * long pause with a few late timers after it is not starvation.
   */
  private double starvationShare(final long nowUs) {
    final long fromUs = nowUs - WINDOW_US;
    final long longestUs = pauses.longestPauseUs(fromUs, nowUs);
    final long othersUs = pauses.pausedUs(fromUs, nowUs) - longestUs;
    return (double) othersUs / Math.max(WINDOW_US / 2, WINDOW_US - longestUs);
  }

  private State worstState(final long nowUs) {
    if (connectivity.isCutOff()) {
      return State.CUT_OFF;
    }
    if (starved) {
      return State.STARVED;
    }
    final PauseDetector.Pause last = pauses.lastPause();
    if (last == null || nowUs - last.toUs() >= RECENT_US) {
      return State.WELL;
    }
    return last.durationUs() >= AWAY_PAUSE_US ? State.AWAY : State.LATE;
  }
}
