/**
 * Reports to {@code decisions.health} when this process ran and when it was due to run, so that a
 * pause of the process is not attributed to endpoints. {@link
 * thistleturn.courier.health.StallDetector} is the entry point; each event loop has one. The
 * package does not decide what follows from a stall.
 */
package thistleturn.courier.health;
