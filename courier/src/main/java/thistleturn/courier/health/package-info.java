/**
 * Tells {@code decisions.health} when this process ran and when it was due to run, so that a
 * courier that was stopped blames no endpoint for it. {@link
 * thistleturn.courier.health.StallDetector} is the entry point, one for each event loop, and lives
 * there. What follows from a stall is decided elsewhere.
 */
package thistleturn.courier.health;
