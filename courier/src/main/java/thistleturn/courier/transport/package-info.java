/**
 * Netty channels and connection set-up that tolerate transient failures of the local system: these
 * are retried here, or reported to the owner of the connection on its event loop.
 */
package thistleturn.courier.transport;
