/**
 * What carriers decide about connections: what their breaks say. Pure: moments are told, nothing is
 * drawn or done.
 */
package thistleturn.decisions.pools;
