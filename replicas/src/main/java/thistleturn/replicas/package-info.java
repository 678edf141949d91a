/**
 * What couriers are told and have learnt is held by the fleet: the wire, the folder and the words
 * of {@code decisions.replicas}.
 */
package thistleturn.replicas;
