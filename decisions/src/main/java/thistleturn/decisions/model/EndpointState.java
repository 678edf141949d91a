package thistleturn.decisions.model;

/** The state of an endpoint in the endpoint list, independent of its health. */
public enum EndpointState {
  LISTED,
  DRAINING,
  GONE
}
