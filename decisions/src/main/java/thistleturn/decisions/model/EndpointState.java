package thistleturn.decisions.model;

/** The state of an endpoint in the endpoint list, which knows nothing of its health. */
public enum EndpointState {
  LISTED,
  DRAINING,
  GONE
}
