/**
 * Simulation in virtual time of couriers that monitor one another: the membership protocol of
 * {@code decisions.peers}, and the baselines it is compared with (SWIM, heartbeats, phi accrual).
 */
package thistleturn.lab.peers;
