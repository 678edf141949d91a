package thistleturn.courier.health;

import io.netty.channel.EventLoop;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.health.LocalHealth;

/**
 * Detects periods in which this process did not run, so that they are not attributed to endpoints.
 * While the courier is busy a timer ticks; a late tick, or any other event after the tick was due,
 * shows for how long the process was paused. It does not tick while the courier is idle. Lives on
 * the event loop.
 */
public final class StallDetector {
  private static final long US_PER_S = 1_000_000;
  private static final long US_PER_MS = 1000;

  /** Shorter stalls are not logged. */
  private static final long MIN_LOGGED_STALL_US = US_PER_S;

  private static final long NO_TICK = Long.MAX_VALUE;

  private final EventLoop loop;
  private final Clock clock;
  private final LocalHealth localHealth;
  private final LongConsumer stallListener;
  private LocalHealth.State lastLoggedState = LocalHealth.State.WELL;
  private long nextTickUs = NO_TICK;
  private boolean tickWanted;

  /**
   * Creates a detector that does not tick yet.
   *
   * @param stallListener receives the length of a stall, us, before any event that arrived
   *     meanwhile is handled
   */
  public StallDetector(
      final EventLoop loop,
      final Clock clock,
      final LocalHealth localHealth,
      final LongConsumer stallListener) {
    this.loop = loop;
    this.clock = clock;
    this.localHealth = localHealth;
    this.stallListener = stallListener;
  }

  /**
   * Records that the process runs now. Must be called at each event, before the event is handled.
   *
   * @return the time, us
   */
  public long recordActivity() {
    final long nowUs = clock.nowUs();
    final long stallUs = localHealth.recordRun(nowUs);
    if (nextTickUs != NO_TICK) {
      // The tick was late because of this stall: from now on it is due at once, and no longer late.
      localHealth.expectRunBy(Math.max(nextTickUs, nowUs));
    }
    if (stallUs > 0) {
      stallListener.accept(stallUs);
      if (stallUs >= MIN_LOGGED_STALL_US) {
        Log.info(
            "this process did not run for "
                + stallUs / US_PER_MS
                + " ms: not counted as time-outs");
      }
    }
    return nowUs;
  }

  /** Starts ticking, or stops after the next tick. */
  public void setBusy(final boolean busy) {
    tickWanted = busy;
    if (busy && nextTickUs == NO_TICK) {
      scheduleTick(clock.nowUs());
    }
  }

  private void scheduleTick(final long nowUs) {
    nextTickUs = nowUs + LocalHealth.TICK_INTERVAL_US;
    localHealth.expectRunBy(nextTickUs);
    loop.schedule(this::onTick, LocalHealth.TICK_INTERVAL_US, TimeUnit.MICROSECONDS);
  }

  private void onTick() {
    // This tick has run: it must not be expected again when the activity is recorded.
    nextTickUs = NO_TICK;
    final long nowUs = recordActivity();
    logHealthChange(nowUs);
    if (tickWanted) {
      scheduleTick(nowUs);
    }
  }

  /** Logs when a lasting fault of this courier itself begins, changes or ends. */
  private void logHealthChange(final long nowUs) {
    final LocalHealth.State state = localHealth.state(nowUs);
    if (state != lastLoggedState && (isLastingFault(state) || isLastingFault(lastLoggedState))) {
      Log.info(
          "own health: "
              + state.name().toLowerCase(Locale.ROOT)
              + ", "
              + localHealth.report(nowUs).evidence());
    }
    lastLoggedState = state;
  }

  private static boolean isLastingFault(final LocalHealth.State state) {
    return state == LocalHealth.State.STARVED || state == LocalHealth.State.CUT_OFF;
  }
}
