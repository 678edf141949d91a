package thistleturn.decisions.model;

/** How worth falls between the aim and the deadline. */
public enum ValueDecay {
  LINEAR,
  HALVING
}
