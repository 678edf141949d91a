/**
 * The commands of {@code bin/thistleturn measure}: each prints the tables of one page of {@code
 * docs/measurements}. Only this module depends on other products, for comparison.
 */
package thistleturn.benchmarks;
