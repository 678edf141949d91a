/**
 * Measures how a courier scales. The courier runs as a separate process on its own cores; the
 * endpoints, clients and platform around it are cheap enough to drive it to its limit. Results:
 * {@code docs/measurements/scale.md}.
 */
package thistleturn.benchmarks.scale;
