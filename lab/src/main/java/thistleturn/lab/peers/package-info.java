/**
 * Fleets of couriers that watch one another, in virtual time: the decisions of {@code peers}, and
 * what they are measured against.
 */
package thistleturn.lab.peers;
