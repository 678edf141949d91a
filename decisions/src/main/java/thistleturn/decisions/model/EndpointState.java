package thistleturn.decisions.model;

/** An endpoint's state in the list; the list knows nothing of health. */
public enum EndpointState {
  LISTED,
  DRAINING,
  GONE
}
