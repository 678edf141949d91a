/**
 * Simulation in virtual time of clients, one courier's decisions and destinations, with the rules
 * checked from outside.
 */
package thistleturn.lab.virtual;
