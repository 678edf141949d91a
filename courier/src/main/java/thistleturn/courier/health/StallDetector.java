package thistleturn.courier.health;

import io.netty.channel.EventLoop;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.health.LocalHealth;

/**
 * Keeps a beat while the courier has something to do, so that a stretch in which the process did
 * not run is seen by whatever runs first after it, be it a timer or an answer. An idle courier
 * keeps none. Runs on the event loop.
 */
public final class StallDetector {
  private static final long US_PER_S = 1_000_000;

  /** An absence so long, us, is worth a line. */
  private static final long MIN_LOGGED_STALL_US = US_PER_S;

  private static final long NEVER = Long.MAX_VALUE;

  private final EventLoop loop;
  private final Clock clock;
  private final LocalHealth localHealth;
  private final LongConsumer stallListener;
  private LocalHealth.State lastLoggedState = LocalHealth.State.WELL;
  private long nextTickUs = NEVER;
  private boolean tickWanted;

  /**
   * {@code away} is told for how long the process did not run, us, before anything else that came
   * meanwhile.
   */
  public StallDetector(
      final EventLoop loop, final Clock clock, final LocalHealth health, final LongConsumer away) {
    this.loop = loop;
    this.clock = clock;
    this.localHealth = health;
    this.stallListener = away;
  }

  /**
   * The courier runs at this moment: to be called before anything is read from what came. Returns
   * that moment, us.
   */
  public long recordActivity() {
    final long nowUs = clock.nowUs();
    final long awayUs = localHealth.recordRun(nowUs);
    if (nextTickUs != NEVER) {
      // A beat that is late was late for this; the next promise is one from now.
      localHealth.expectRunBy(Math.max(nextTickUs, nowUs));
    }
    if (awayUs > 0) {
      stallListener.accept(awayUs);
      if (awayUs >= MIN_LOGGED_STALL_US) {
        Log.info(
            "this process did not run for "
                + awayUs / (US_PER_S / 1000)
                + " ms: nobody's time-out");
      }
    }
    return nowUs;
  }

  /** There is something to do, or (false) nothing more: from the next beat on there is none. */
  public void setBusy(final boolean busy) {
    tickWanted = busy;
    if (busy && nextTickUs == NEVER) {
      scheduleTick(clock.nowUs());
    }
  }

  private void scheduleTick(final long nowUs) {
    nextTickUs = nowUs + LocalHealth.TICK_INTERVAL_US;
    localHealth.expectRunBy(nextTickUs);
    loop.schedule(this::onTick, LocalHealth.TICK_INTERVAL_US, TimeUnit.MICROSECONDS);
  }

  private void onTick() {
    // Before it is felt: what this beat promised is kept by now, and the next one promises anew.
    nextTickUs = NEVER;
    final long nowUs = recordActivity();
    logHealthChange(nowUs);
    if (tickWanted) {
      scheduleTick(nowUs);
    }
  }

  /** Lasting trouble of its own is worth a line when it begins and when it is over. */
  private void logHealthChange(final long nowUs) {
    final LocalHealth.State state = localHealth.state(nowUs);
    final boolean lasting =
        state == LocalHealth.State.STARVED || state == LocalHealth.State.CUT_OFF;
    final boolean lasted =
        lastLoggedState == LocalHealth.State.STARVED
            || lastLoggedState == LocalHealth.State.CUT_OFF;
    if (state != lastLoggedState && (lasting || lasted)) {
      Log.info(
          "own health: "
              + state.name().toLowerCase(Locale.ROOT)
              + ", "
              + localHealth.report(nowUs).evidence());
    }
    lastLoggedState = state;
  }
}
