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
public final class Pulse {
  private static final long US_PER_S = 1_000_000;

  /** An absence so long, us, is worth a line. */
  private static final long WORTH_A_LINE_US = US_PER_S;

  private static final long NEVER = Long.MAX_VALUE;

  private final EventLoop loop;
  private final Clock clock;
  private final LocalHealth health;
  private final LongConsumer away;
  private LocalHealth.State said = LocalHealth.State.WELL;
  private long dueUs = NEVER;
  private boolean wanted;

  /**
   * {@code away} is told for how long the process did not run, us, before anything else that came
   * meanwhile.
   */
  public Pulse(
      final EventLoop loop, final Clock clock, final LocalHealth health, final LongConsumer away) {
    this.loop = loop;
    this.clock = clock;
    this.health = health;
    this.away = away;
  }

  /**
   * The courier runs at this moment: to be called before anything is read from what came. Returns
   * that moment, us.
   */
  public long feel() {
    final long nowUs = clock.nowUs();
    final long awayUs = health.recordRun(nowUs);
    if (dueUs != NEVER) {
      // A beat that is late was late for this; the next promise is one from now.
      health.expectRunBy(Math.max(dueUs, nowUs));
    }
    if (awayUs > 0) {
      away.accept(awayUs);
      if (awayUs >= WORTH_A_LINE_US) {
        Log.info(
            "this process did not run for "
                + awayUs / (US_PER_S / 1000)
                + " ms: nobody's time-out");
      }
    }
    return nowUs;
  }

  /** There is something to do, or (false) nothing more: from the next beat on there is none. */
  public void keep(final boolean busy) {
    wanted = busy;
    if (busy && dueUs == NEVER) {
      arm(clock.nowUs());
    }
  }

  private void arm(final long nowUs) {
    dueUs = nowUs + LocalHealth.TICK_INTERVAL_US;
    health.expectRunBy(dueUs);
    loop.schedule(this::beat, LocalHealth.TICK_INTERVAL_US, TimeUnit.MICROSECONDS);
  }

  private void beat() {
    // Before it is felt: what this beat promised is kept by now, and the next one promises anew.
    dueUs = NEVER;
    final long nowUs = feel();
    say(nowUs);
    if (wanted) {
      arm(nowUs);
    }
  }

  /** Lasting trouble of its own is worth a line when it begins and when it is over. */
  private void say(final long nowUs) {
    final LocalHealth.State state = health.state(nowUs);
    final boolean lasting =
        state == LocalHealth.State.STARVED || state == LocalHealth.State.CUT_OFF;
    final boolean lasted = said == LocalHealth.State.STARVED || said == LocalHealth.State.CUT_OFF;
    if (state != said && (lasting || lasted)) {
      Log.info(
          "own health: "
              + state.name().toLowerCase(Locale.ROOT)
              + ", "
              + health.report(nowUs).evidence());
    }
    said = state;
  }
}
