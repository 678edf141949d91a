/**
 * Connections as the system gives them: what it refuses for a moment is tried again here, or told
 * to its owner on its loop.
 */
package thistleturn.courier.transport;
