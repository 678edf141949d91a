/**
 * Divides destinations and capacity among the shards of a courier, each of which runs on its own
 * event loop.
 *
 * <p>Entry points: {@link thistleturn.decisions.shards.ShardPlacement} assigns a destination to its
 * shard; {@link thistleturn.decisions.shards.CapacityAllocator} divides a limit among shards that
 * share no state, and is confined to a single thread. Neither depends on the shards themselves.
 */
package thistleturn.decisions.shards;
