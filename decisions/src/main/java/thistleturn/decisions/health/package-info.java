/**
 * A courier's health as observed by itself, so that it does not attribute its own pauses or a lost
 * network to endpoints.
 *
 * <p>Entry point: {@link thistleturn.decisions.health.LocalHealth}. Its owner reports when it ran
 * and what it observed, with the time of each event; the package has no clock, threads or I/O, and
 * knows endpoints only by the numbers of their destinations.
 */
package thistleturn.decisions.health;
