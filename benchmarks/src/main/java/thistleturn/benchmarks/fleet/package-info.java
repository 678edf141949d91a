/** Measures the load that a fleet of couriers puts on the destinations they share. */
package thistleturn.benchmarks.fleet;
