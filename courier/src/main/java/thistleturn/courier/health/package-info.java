/**
 * How a courier feels its own pulse: what tells {@code decisions.health} when the process runs and
 * when it meant to.
 */
package thistleturn.courier.health;
