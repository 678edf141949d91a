/** Measures couriers that are stopped, starved or cut off from their network. */
package thistleturn.benchmarks.health;
