/** The tables of {@code docs/measurements/replicas.md}. */
package thistleturn.benchmarks.replicas;
