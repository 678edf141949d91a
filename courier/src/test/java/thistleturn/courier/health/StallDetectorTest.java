package thistleturn.courier.health;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.health.LocalHealth;

/** The beat of a courier that waits for an answer and has nothing else to do. */
@Tag("health")
final class StallDetectorTest {
  private static final int BEATS = 15;

  /**
   * Each beat promised itself at its own moment, so that the next one, a beat later, found an
   * absence of that length.
   */
  @Test
  void punctualTicks_reportNoStall() throws Exception {
    final DefaultEventLoop loop = new DefaultEventLoop();
    try {
      final Clock clock = new Clock();
      final AtomicInteger aways = new AtomicInteger();
      final StallDetector pulse =
          new StallDetector(
              loop, clock, new LocalHealth(clock.nowUs()), us -> aways.incrementAndGet());
      loop.submit(() -> pulse.setBusy(true)).get();
      loop.schedule(() -> {}, BEATS * LocalHealth.TICK_INTERVAL_US, TimeUnit.MICROSECONDS).get();
      assertTrue(aways.get() < BEATS / 3, aways + " absences in " + BEATS + " beats");
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
  }
}
