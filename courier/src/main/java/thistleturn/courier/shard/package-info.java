/**
 * A courier on several event loops.
 *
 * <p>Destinations are assigned to shards by a hash. Each shard owns a decision loop, a dispatcher,
 * an outcome notifier and a journal; the shards share nothing but the endpoint directory ({@link
 * thistleturn.courier.shard.SharedDirectory}) and two capacity limits ({@link
 * thistleturn.courier.shard.CapacityExchange}). What must cross from one shard to another is queued
 * as a task on the event loop that owns it. Design: {@code docs/design/scale.md}.
 */
package thistleturn.courier.shard;
