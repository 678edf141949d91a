/**
 * Measures how rejections that do not answer to load are told apart from overload, against plain
 * senders.
 */
package thistleturn.benchmarks.noise;
