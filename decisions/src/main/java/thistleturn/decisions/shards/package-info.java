/**
 * How destinations and capacity are divided among the shards of a courier, each of which runs on an
 * event loop of its own.
 *
 * <p>Entry points: {@link thistleturn.decisions.shards.ShardPlacement} assigns a destination to its
 * shard; {@link thistleturn.decisions.shards.CapacityAllocator} divides a limit among shards that
 * cannot see each other, and belongs to a single thread. Neither knows what a shard does.
 */
package thistleturn.decisions.shards;
