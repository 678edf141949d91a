/**
 * Simulation in virtual time of many couriers that share destinations and discovery, with the
 * troubles of a large fleet.
 */
package thistleturn.lab.fleet;
