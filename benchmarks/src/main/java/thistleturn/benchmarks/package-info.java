/**
 * The programs behind {@code bin/thistleturn measure}: each prints one table of {@code
 * docs/measurements}. Other products are dependencies here only.
 */
package thistleturn.benchmarks;
