package thistleturn.courier.port;

/**
 * Names one submission of a message: two requests with the same message id are two submissions. It
 * is compared by identity, which is exact within a process; another process finds what was
 * submitted here by {@link #isSameAs}.
 */
public final class Submission {
  private final String messageId;
  private final long destination;
  private final long deadlineUs;

  Submission(final String messageId, final long destination, final long deadlineUs) {
    this.messageId = messageId;
    this.destination = destination;
    this.deadlineUs = deadlineUs;
  }

  /** Returns the id of the message, which its client chose. */
  public String messageId() {
    return messageId;
  }

  /** Returns the number of the message's destination. */
  public long destination() {
    return destination;
  }

  /**
   * Returns whether a message that was read from the journal is the one of this submission: its
   * deadline, in microseconds, was derived from when its request came.
   */
  public boolean isSameAs(final Submission journaled) {
    return messageId.equals(journaled.messageId)
        && destination == journaled.destination
        && deadlineUs == journaled.deadlineUs;
  }
}
