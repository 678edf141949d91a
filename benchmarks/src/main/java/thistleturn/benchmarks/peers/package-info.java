/**
 * Measures the membership protocol under faults: real processes connected through relays, and
 * virtual fleets in comparison with other protocols.
 */
package thistleturn.benchmarks.peers;
