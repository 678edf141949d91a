/**
 * The ports of a courier: the interfaces between its decision loop and its environment.
 *
 * <p>A message is received by an {@link thistleturn.courier.port.Ingress}, which passes it to an
 * {@link thistleturn.courier.port.IngressHandler}. It is recorded in the {@link
 * thistleturn.courier.port.MessageStore} ahead of every durable effect and sent by a {@link
 * thistleturn.courier.port.Dispatcher} to an endpoint listed by the {@link
 * thistleturn.courier.port.EndpointDirectory}; if it cannot be delivered, the {@link
 * thistleturn.courier.port.OutcomeNotifier} reports that to the platform. Subsystems observe the
 * loop through a {@link thistleturn.courier.port.StateObserver} and influence it through a {@link
 * thistleturn.courier.port.DirectiveSink}.
 *
 * <p>Unless a type says otherwise, all methods run on the thread of the event loop that owns the
 * implementation. Times are in microseconds of the machine's monotonic clock; names end in {@code
 * Us}. The package depends on none of the implementations.
 */
package thistleturn.courier.port;
