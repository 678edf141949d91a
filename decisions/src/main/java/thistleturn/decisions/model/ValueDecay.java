package thistleturn.decisions.model;

/** How the value of a message decays between its latency objective and its deadline. */
public enum ValueDecay {
  LINEAR,
  HALVING
}
