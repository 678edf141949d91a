/**
 * Merges the platform's endpoint list and the registries into the one endpoint directory a courier
 * uses. The merge itself is decided by {@code thistleturn.decisions.membership}; this package feeds
 * it and reports its result. A registry that cannot be reached never empties the directory.
 */
package thistleturn.membership;
