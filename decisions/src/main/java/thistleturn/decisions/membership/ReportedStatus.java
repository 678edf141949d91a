package thistleturn.decisions.membership;

/** What a source says of an endpoint that it lists. */
public enum ReportedStatus {
  /** It takes new messages. */
  UP,
  /** It has not begun to take messages, or the source does not know: nothing new goes there. */
  PENDING,
  /** It finishes what it has and takes nothing new. */
  DRAIN;

  /** True where nothing new may go there. */
  public boolean blocksNewCalls() {
    return this != UP;
  }
}
