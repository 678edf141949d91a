/**
 * The command line {@code bin/thistleturn}: one class for each command, and the wiring of a courier
 * with the product's optional modules. Exit codes: 0 done, 1 failed, 2 unusable command or file.
 */
package thistleturn.cli;
