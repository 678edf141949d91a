/**
 * Simulation in virtual time of fleets of replicas ({@code decisions.replicas}), under the same
 * schedules of faults as tests with real processes.
 */
package thistleturn.lab.replicas;
