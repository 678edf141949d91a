/**
 * How couriers know one another under faults: real processes through relays, and virtual fleets
 * against the rules of others.
 */
package thistleturn.benchmarks.peers;
