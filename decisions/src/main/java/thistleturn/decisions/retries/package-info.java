/**
 * Decides what may follow an attempt whose effect is not certain.
 *
 * <p>Entry point: {@link thistleturn.decisions.retries.FollowUp}, a table. It keeps no state: what
 * is known of a message is passed in as arguments.
 */
package thistleturn.decisions.retries;
