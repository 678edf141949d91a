package thistleturn.decisions.health;

import java.util.Locale;

/**
 * A courier's own health: whether it runs when it means to, gets enough of a core, and reaches
 * anybody. What it observes late, or not at all, by its own fault must not be blamed on an
 * endpoint. The state is the worst that applies:
 *
 * <table>
 * <caption>states</caption>
 * <tr><td>CUT_OFF</td><td>nobody answered for 1 s, and two destinations and the platform are among
 * those tried; until anybody answers</td></tr>
 * <tr><td>STARVED</td><td>paused for 0.25 of the last 4 s, in 4 pauses or more and not counting the
 * longest of them; until it is under 0.1 of 4 s</td></tr>
 * <tr><td>AWAY</td><td>until 1 s after a pause of 0.5 s or more</td></tr>
 * <tr><td>LATE</td><td>until 1 s after a pause of 0.1 s or more</td></tr>
 * <tr><td>WELL</td><td>otherwise</td></tr>
 * </table>
 *
 * <p>It is driven by the times at which the courier runs; times are microseconds on one clock that
 * only advances.
 */
public final class LocalHealth {
  /** How often a courier with something to do means to run, us: the tick that its host keeps. */
  public static final long TICK_INTERVAL_US = 100_000;

  static final long SECOND_US = 1_000_000;

  /** The shortest pause after which the courier counts as away and not just as late. */
  private static final long AWAY_PAUSE_US = 500_000;

  /** How long the state shows a pause after its end. */
  private static final long RECENT_US = SECOND_US;

  /** The period over which starvation is measured. */
  private static final long WINDOW_US = 4 * SECOND_US;

  private static final double STARVED_SHARE = 0.25;
  private static final double RECOVERED_SHARE = 0.1;
  private static final int STARVED_PAUSES = 4;

  /** A starved courier accepts as many messages as it completes in this time. */
  private static final long STARVED_BACKLOG_US = 2 * SECOND_US;

  /** A starved courier accepts this many messages in any case: so few are no burden. */
  private static final int STARVED_MIN_MESSAGES = 64;

  /** Share of a measured time that a pause may take without making the measurement unreliable. */
  private static final double TOLERATED_PAUSED_SHARE = 0.25;

  /**
   * A courier's state, best first. The names are part of the operators' JSON, and the order of the
   * messages between couriers.
   */
  public enum State {
    /** It runs when it means to and reaches others. */
    WELL,
    /** It paused briefly a short while ago. */
    LATE,
    /** It paused for longer a short while ago. */
    AWAY,
    /** It gets too little of a core. */
    STARVED,
    /** It reaches nobody. */
    CUT_OFF
  }

  /**
   * The state with its evidence.
   *
   * @param state the worst state that applies
   * @param sinceUs since when the courier has been in that state
   * @param evidence in words, with figures
   * @param pausedShare share of the last 4 s in which the courier was paused
   * @param lastPauseUs how long the last pause took; 0 if there was none of late
   */
  public record Report(
      State state, long sinceUs, String evidence, double pausedShare, long lastPauseUs) {}

  private final PauseDetector pauses = new PauseDetector();
  private final ConnectivityMonitor connectivity = new ConnectivityMonitor();
  private final CompletionRate completions;
  private State state = State.WELL;
  private long stateSinceUs;
  private boolean starved;

  /** A courier that starts now, and counts as running and connected so far. */
  public LocalHealth(final long nowUs) {
    stateSinceUs = nowUs;
    completions = new CompletionRate(nowUs);
    connectivity.recordResponse(nowUs);
  }

  // ---------------------------------------------------------------- observations

  /** The courier will run by that time, whatever happens. */
  public void expectRunBy(final long atUs) {
    pauses.expectRunBy(atUs);
  }

  /**
   * The courier runs now.
   *
   * @return for how long before now it was paused though it meant to run, us; 0 if it was not
   */
  public long recordRun(final long nowUs) {
    final long pausedUs = pauses.recordRun(nowUs);
    completions.update(nowUs);
    if (pausedUs > 0 || starved || state != State.WELL) {
      updateState(nowUs);
    }
    return pausedUs;
  }

  /** A message was completed here, whatever the outcome. */
  public void recordMessageCompleted() {
    completions.recordCompleted();
  }

  /** An endpoint or the platform answered, whatever the answer. */
  public void recordResponse(final long nowUs) {
    connectivity.recordResponse(nowUs);
  }

  /** A call that was begun at {@code sentUs} was not answered, and not because of a pause here. */
  public void recordNoResponse(final long destination, final long sentUs, final long nowUs) {
    connectivity.recordNoResponse(destination, sentUs, nowUs);
    updateState(nowUs);
  }

  /** The platform's endpoint list could not be read, or outcomes could not be reported to it. */
  public void recordPlatformFailure(final long nowUs) {
    connectivity.recordPlatformFailure(nowUs);
    updateState(nowUs);
  }

  // ---------------------------------------------------------------- conclusions

  /** True if the courier was running in that period but for a small share of it. */
  public boolean wasRunningBetween(final long fromUs, final long toUs) {
    return pauses.pausedUs(fromUs, toUs) <= TOLERATED_PAUSED_SHARE * (toUs - fromUs);
  }

  /** True while the courier reaches nobody; failures then say nothing of the endpoints. */
  public boolean isCutOff() {
    return connectivity.isCutOff();
  }

  /** Since when nobody has answered, us; only meaningful while the courier is cut off. */
  public long cutOffSinceUs() {
    return connectivity.cutOffSinceUs();
  }

  /** How many messages were completed here so far. */
  public long completedMessages() {
    return completions.completed();
  }

  /**
   * How many pending messages the courier may hold: while starved, no more than it completes in
   * time.
   *
   * @param configured the bound that applies otherwise
   */
  public int maxPendingMessages(final int configured) {
    if (!starved) {
      return configured;
    }
    final double affordable = completions.perSecond() * STARVED_BACKLOG_US / SECOND_US;
    return (int) Math.min(configured, Math.max(STARVED_MIN_MESSAGES, affordable));
  }

  /** The state now. */
  public State state(final long nowUs) {
    updateState(nowUs);
    return state;
  }

  /** The state now, with its evidence. */
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
   * Share of the window in which the courier was paused, without the longest pause: one long pause
   * with a few late timers after it is no starvation.
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
