/** Measures replicas; prints the tables of {@code docs/measurements/replicas.md}. */
package thistleturn.benchmarks.replicas;
