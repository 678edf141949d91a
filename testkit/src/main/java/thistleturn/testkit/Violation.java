package thistleturn.testkit;

/** A violated rule: which, when (us after the start of the stand-ins' clock), and what happened. */
public record Violation(Rule rule, long atUs, String what) {

  /** The six delivery rules, and the rule that a message goes to its own destination only. */
  public enum Rule {
    LOST,
    DOUBLE,
    DRAIN,
    TIPPED,
    ORDER,
    WAIT,
    DESTINATION
  }

  @Override
  public String toString() {
    return rule + " at " + atUs / 1000 + " ms: " + what;
  }
}
