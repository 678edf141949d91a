/**
 * The ports of a courier: the interfaces between its decision loop and the outside.
 *
 * <p>A message comes in by an {@link thistleturn.courier.port.Ingress}, which hands it to an {@link
 * thistleturn.courier.port.IngressHandler}. It is recorded in the {@link
 * thistleturn.courier.port.MessageStore} ahead of every promise, goes out by a {@link
 * thistleturn.courier.port.Dispatcher} to an endpoint that the {@link
 * thistleturn.courier.port.EndpointDirectory} names, and if it cannot be delivered, the {@link
 * thistleturn.courier.port.OutcomeNotifier} reports that to the platform. Subsystems observe the
 * loop by a {@link thistleturn.courier.port.StateObserver} and influence it by a {@link
 * thistleturn.courier.port.DirectiveSink}.
 *
 * <p>Unless a type says otherwise, all methods run on the thread of the event loop that owns the
 * implementation. Times are in microseconds of the machine's monotonic clock; names end in {@code
 * Us}. The package knows none of the implementations.
 */
package thistleturn.courier.port;
