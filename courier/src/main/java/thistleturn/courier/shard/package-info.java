/**
 * A courier on several event loops. Destinations are dealt out to shards by a hash; each shard owns
 * a decision module, a carrier, the telling of its ends and a journal, and shares nothing with the
 * others but the list and two bounds. What must cross goes as a task to the loop that owns it.
 * Design: {@code docs/design/scale.md}.
 */
package thistleturn.courier.shard;
