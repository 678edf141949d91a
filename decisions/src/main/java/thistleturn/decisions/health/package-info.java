/**
 * A courier's health as it observes it itself, so that it does not blame endpoints for its own
 * pauses or for a lost network.
 *
 * <p>Entry point: {@link thistleturn.decisions.health.LocalHealth}. Its owner reports when it ran
 * and what it observed, with the time of each event; the package has no clock, threads or I/O and
 * knows nothing of endpoints but the numbers of their destinations.
 */
package thistleturn.decisions.health;
