/**
 * Decisions on what a watch of the platform's endpoint list reports. They are part of every courier
 * and know nothing of connections or of the list's format.
 */
package thistleturn.decisions.discovery;
