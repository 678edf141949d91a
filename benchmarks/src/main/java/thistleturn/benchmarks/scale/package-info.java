/**
 * How a courier bears size: a process of its own on cores of its own, and round it endpoints,
 * clients and a platform that cost little enough to drive it to its limit. Pages: {@code
 * docs/measurements/scale.md}.
 */
package thistleturn.benchmarks.scale;
