/**
 * A courier process: its lifecycle, and the decision loop of each shard.
 *
 * <p>{@link thistleturn.courier.Main} runs a courier as a process of its own, and {@link
 * thistleturn.courier.CourierServer} as a part of one. A server has one shard or several; each is
 * owned by one event loop, and its decision loop connects the controller with the ports of {@code
 * thistleturn.courier.port}. What all shards share lives on the first shard's event loop. Other
 * modules extend a courier by a {@link thistleturn.courier.CourierExtension}; this package does not
 * depend on them.
 */
package thistleturn.courier;
