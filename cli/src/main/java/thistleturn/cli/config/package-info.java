/**
 * The product's settings file: strict reading of TOML, where an unknown key, a wrong type or a
 * value outside its bounds is an error that names the key.
 */
package thistleturn.cli.config;
