/** Measures couriers that are paused, starved of CPU or cut off from the network. */
package thistleturn.benchmarks.health;
