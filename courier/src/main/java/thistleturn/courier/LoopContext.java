package thistleturn.courier;

import thistleturn.courier.health.StallDetector;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.health.LocalHealth;

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
    StallDetector stallDetector) {}
