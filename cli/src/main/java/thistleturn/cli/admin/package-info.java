/** The product's own operators' address, which serves the pages the commands print. */
package thistleturn.cli.admin;
