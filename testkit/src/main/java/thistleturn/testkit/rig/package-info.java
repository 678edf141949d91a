/**
 * Runs several real processes of the program, and injects faults: pauses, kills, and network faults
 * between them.
 */
package thistleturn.testkit.rig;
