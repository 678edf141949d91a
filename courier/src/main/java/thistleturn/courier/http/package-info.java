/**
 * The HTTP layer of the courier: the ingress, through which clients submit messages, and the
 * dispatcher, which delivers them to endpoints.
 *
 * <p>{@link thistleturn.courier.http.HttpIngress} listens; each {@link
 * thistleturn.courier.http.ClientConnection} assembles requests, serves them in order and writes
 * their responses; {@link thistleturn.courier.http.ClientConnectionManager} ends connections that
 * are idle or overdue, or that exceed the limit. {@link thistleturn.courier.http.HttpDispatcher}
 * sends each {@link thistleturn.courier.http.HttpCall} over an {@link
 * thistleturn.courier.http.EndpointConnection}. Everything runs on one event loop.
 */
package thistleturn.courier.http;
