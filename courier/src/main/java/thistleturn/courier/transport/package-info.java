/**
 * Netty channels and connecting that tolerate transient failures of the local system: they are
 * retried here, or reported to the owner of the connection on its event loop.
 */
package thistleturn.courier.transport;
