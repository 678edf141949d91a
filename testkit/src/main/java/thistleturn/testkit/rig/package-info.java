/**
 * Several real processes of the program, and what is done to them: pauses, kills, faults between
 * them.
 */
package thistleturn.testkit.rig;
