/**
 * Fleets of copies ({@code decisions.replicas}) in virtual time, under the schedules of faults that
 * real fleets play, too.
 */
package thistleturn.lab.replicas;
