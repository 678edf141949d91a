/**
 * What a courier does otherwise because there are many of it: pure, told the time and the size of
 * the fleet.
 */
package thistleturn.decisions.fleet;
