package thistleturn.decisions.model;

/** What an endpoint's weight tells of its destination's limit. */
public enum WeightMeaning {
  NONE,
  NOMINAL,
  APPROXIMATE
}
