/**
 * How a courier adapts to the size of its fleet: its share of a rate limit that all couriers use
 * together, and what each courier may do only in a small fleet.
 *
 * <p>Entry points: {@link thistleturn.decisions.fleet.FairShare}, one for each route of the
 * overload controller and confined to its thread, and {@link
 * thistleturn.decisions.fleet.FleetSize}. The package receives the time and the size of the fleet
 * as arguments and does not communicate with other couriers.
 */
package thistleturn.decisions.fleet;
