package thistleturn.decisions.model;

/** How the weight of an endpoint relates to the rate limit of its destination. */
public enum WeightMeaning {
  NONE,
  NOMINAL,
  APPROXIMATE
}
