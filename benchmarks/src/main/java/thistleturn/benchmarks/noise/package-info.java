/**
 * Measures how well the controller distinguishes rejections that do not depend on load from
 * overload, compared with simple senders.
 */
package thistleturn.benchmarks.noise;
