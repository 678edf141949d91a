/**
 * An evening in virtual time: clients, one courier's decisions, partners, and the rules watched
 * from outside.
 */
package thistleturn.lab.virtual;
