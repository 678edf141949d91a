package thistleturn.testkit;

/** A violated rule: which, when (us after the start of the stand-ins' clock), and what happened. */
public record Violation(Rule rule, long atUs, String what) {

  /**
   * The six delivery rules, the rule that a message goes to its own destination only, and the rule
   * that no call of a message begins after an endpoint has ended it.
   */
  public enum Rule {
    LOST,
    DOUBLE,
    DRAIN,
    TIPPED,
    ORDER,
    WAIT,
    DESTINATION,
    ENDED
  }

  @Override
  public String toString() {
    return rule + " at " + atUs / 1000 + " ms: " + what;
  }
}
