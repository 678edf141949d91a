package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.function.LongConsumer;
import thistleturn.courier.health.StallDetector;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.model.DeliverySettings;

/**
 * What the parts of one decision loop share. All of it belongs to the loop's thread.
 *
 * @param store the journal
 * @param classes the configured message classes
 * @param endpoints the endpoints that the directory named
 * @param pending the messages that have not ended
 * @param counters what is reported as metrics
 * @param health how well this process runs and reaches others
 * @param stallDetector notices when this process did not run
 */
record LoopContext(
    Clock clock,
    MessageStore store,
    MessageClasses classes,
    EndpointTable endpoints,
    PendingDeliveries pending,
    DeliveryCounters counters,
    LocalHealth health,
    StallDetector stallDetector) {

  /**
   * Creates the context of a new loop.
   *
   * @param pauseListener is told for how many microseconds this process did not run
   */
  static LoopContext create(
      final DeliverySettings settings,
      final EventLoop loop,
      final Clock clock,
      final MessageStore store,
      final LongConsumer pauseListener) {
    final LocalHealth health = new LocalHealth(clock.nowUs());
    final MessageClasses classes = new MessageClasses(settings.classes());
    return new LoopContext(
        clock,
        store,
        classes,
        new EndpointTable(settings.kinds(), clock::nowUs),
        new PendingDeliveries(),
        new DeliveryCounters(classes),
        health,
        new StallDetector(loop, clock, health, pauseListener));
  }
}
