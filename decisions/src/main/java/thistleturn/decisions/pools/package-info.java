/**
 * Determines the result of a call whose connection was lost.
 *
 * <p>Entry point: {@link thistleturn.decisions.pools.ConnectionLoss}, an immutable value. It does
 * not access sockets: what was written, received and measured is passed in as arguments.
 */
package thistleturn.decisions.pools;
