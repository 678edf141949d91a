/**
 * What dispatchers conclude from the loss of a connection.
 *
 * <p>Entry point: {@link thistleturn.decisions.pools.ConnectionLoss}, an immutable value. It knows
 * no sockets: what was written, received and measured comes in as arguments.
 */
package thistleturn.decisions.pools;
