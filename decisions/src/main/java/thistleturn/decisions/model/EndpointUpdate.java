package thistleturn.decisions.model;

/**
 * What an update of the endpoint list holds: changed entries, all entries, the last entries known,
 * or that the list could not be had. {@code SUPPLEMENT}: changes from another source, which say
 * nothing of the state of the list itself.
 */
public enum EndpointUpdate {
  CHANGES,
  COMPLETE_SNAPSHOT,
  RESTORED_SNAPSHOT,
  UNAVAILABLE,
  SUPPLEMENT
}
