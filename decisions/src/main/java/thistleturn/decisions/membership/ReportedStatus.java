package thistleturn.decisions.membership;

/** The status that a source reports of an instance that it lists. */
public enum ReportedStatus {
  /** It takes new messages. */
  UP,
  /** It does not take messages yet, or the source does not know whether it does. */
  PENDING,
  /** It completes the messages that it has and takes no new ones. */
  DRAIN;

  /** Returns true if nothing new may be sent to the instance. */
  public boolean blocksNewCalls() {
    return this != UP;
  }
}
