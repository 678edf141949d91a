package thistleturn.courier.http;

import java.util.function.BooleanSupplier;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.PollTracker;

/**
 * What all client connections of one ingress share.
 *
 * @param handler accepts the messages that clients submit
 * @param router serves the requests of the connections
 * @param connections manages the lifetime of the connections
 * @param wakeUps throttles the wake-ups of hibernating connections
 * @param receiveBudget limits the memory that unserved input uses
 * @param decodingBudget limits the time that decoding takes
 * @param draining true while each response ends its connection
 * @param clock the clock of all timestamps
 * @param polls when the event loop polled its sockets
 */
record IngressContext(
    IngressHandler handler,
    RequestRouter router,
    ClientConnectionManager connections,
    WakeUpQueue wakeUps,
    ReceiveBudget receiveBudget,
    DecodingBudget decodingBudget,
    BooleanSupplier draining,
    Clock clock,
    PollTracker polls) {}
