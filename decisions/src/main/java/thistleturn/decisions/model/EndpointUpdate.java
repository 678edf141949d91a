package thistleturn.decisions.model;

/**
 * The content of an update of the endpoint list: changed entries, all entries, the last known
 * entries, or none because the list is unavailable. {@code SUPPLEMENT}: changes from another
 * source, which imply nothing about the state of the list itself.
 */
public enum EndpointUpdate {
  CHANGES,
  COMPLETE_SNAPSHOT,
  RESTORED_SNAPSHOT,
  UNAVAILABLE,
  SUPPLEMENT
}
