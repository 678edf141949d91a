/**
 * Many couriers in virtual time against partners and a discovery that they share, with the troubles
 * of a large fleet.
 */
package thistleturn.lab.fleet;
