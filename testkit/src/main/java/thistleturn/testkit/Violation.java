package thistleturn.testkit;

/** A rule that was broken: which, when (us after the Auditor's start), and by what. */
public record Violation(Rule rule, long atUs, String what) {

  /** The six rules, and the one that a message is for its own destination only. */
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
