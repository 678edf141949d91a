package thistleturn.decisions.model;

/** What the weight of an endpoint says about the limit of its destination. */
public enum WeightMeaning {
  NONE,
  NOMINAL,
  APPROXIMATE
}
