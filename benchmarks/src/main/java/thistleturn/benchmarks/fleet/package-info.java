/** What a fleet of many couriers does to partners that all of them share. */
package thistleturn.benchmarks.fleet;
