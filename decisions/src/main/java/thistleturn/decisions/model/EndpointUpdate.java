package thistleturn.decisions.model;

/**
 * What an update holds: changed entries, all, the last list known, or no news at all; {@code
 * ASIDE}: changes that another source than the list told, which say nothing of the list's own
 * state.
 */
public enum EndpointUpdate {
  CHANGES,
  COMPLETE_SNAPSHOT,
  RESTORED_SNAPSHOT,
  UNAVAILABLE,
  SUPPLEMENT
}
