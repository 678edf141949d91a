/** The HTTP server of the admin address, whose JSON pages the commands fetch and print. */
package thistleturn.cli.admin;
