package thistleturn.courier.health;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.health.LocalHealth;

/** The ticks of a courier that waits for an answer and has nothing else to do. */
@Tag("health")
final class StallDetectorTest {
  private static final int TICKS = 15;

  /**
   * Guards against false stalls: a tick that was expected again at the time at which it ran made
   * the next one, an interval later, report a stall of that interval.
   */
  @Test
  void punctualTicks_reportNoStall() throws Exception {
    final DefaultEventLoop loop = new DefaultEventLoop();
    try {
      final Clock clock = new Clock();
      final AtomicInteger stalls = new AtomicInteger();
      final StallDetector detector =
          new StallDetector(
              loop, clock, new LocalHealth(clock.nowUs()), us -> stalls.incrementAndGet());
      loop.submit(() -> detector.setBusy(true)).get();
      loop.schedule(() -> {}, TICKS * LocalHealth.TICK_INTERVAL_US, TimeUnit.MICROSECONDS).get();
      assertTrue(stalls.get() < TICKS / 3, stalls + " stalls in " + TICKS + " ticks");
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
  }
}
