package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.function.LongConsumer;
import thistleturn.courier.health.StallDetector;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.model.DeliverySettings;

/**
 * The state shared by the parts of one decision loop, used on the loop's thread only.
 *
 * @param store the journal
 * @param classes the configured message classes
 * @param endpoints the listed endpoints
 * @param pending the messages that have not ended
 * @param ended the messages that ended lately
 * @param counters the counters reported as metrics
 * @param health the local health: whether this process runs and is connected
 * @param stallDetector detects that this process did not run for a while
 */
record LoopContext(
    Clock clock,
    MessageStore store,
    MessageClasses classes,
    EndpointTable endpoints,
    PendingDeliveries pending,
    EndedMessages ended,
    DeliveryCounters counters,
    LocalHealth health,
    StallDetector stallDetector) {

  /**
   * Creates the context of a new loop.
   *
   * @param pauseListener receives the number of microseconds for which this process did not run
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
        new EndedMessages(clock),
        new DeliveryCounters(classes),
        health,
        new StallDetector(loop, clock, health, pauseListener));
  }
}
