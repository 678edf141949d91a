/**
 * What a courier does differently because there are many couriers: its share of a rate limit that
 * all of them use together, and what it may do only if few do it.
 *
 * <p>Entry points: {@link thistleturn.decisions.fleet.FairShare}, one for each route of the
 * overload controller and on its thread, and {@link thistleturn.decisions.fleet.FleetSize}. The
 * package knows the time and the size of the fleet from its arguments, and no other courier.
 */
package thistleturn.decisions.fleet;
