package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.OutcomeNotifier;

/**
 * The ports of one decision loop, connected to it.
 *
 * @param dispatcher makes the calls to endpoints
 * @param directory reports endpoints and their state
 * @param notifier reports final outcomes to the platform
 */
record LoopPorts(Dispatcher dispatcher, EndpointDirectory directory, OutcomeNotifier notifier) {}
