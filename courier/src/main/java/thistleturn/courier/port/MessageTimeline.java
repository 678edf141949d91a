package thistleturn.courier.port;

/**
 * The times at which a message reached each step in this process, to explain a late outcome. Times
 * are in microseconds of the loop's clock, 0 for a step that was not reached. It is not stored.
 * Written on the event loop's thread only.
 */
public final class MessageTimeline {
  private static final double US_PER_MS = 1000.0;

  private final long arrivedUs;
  private final long firstByteUs;
  private final long completeUs;
  private final long deadlineUs;
  private long acceptedUs;
  private long answeredUs;
  private long attemptStartedUs;
  private long attemptEndedUs;
  private long endedUs;

  /**
   * Creates the timeline of a message that has been read.
   *
   * @param arrivedUs the earliest time at which its last byte can have arrived in the socket's
   *     buffer
   * @param firstByteUs when its first byte was read
   * @param completeUs when its last byte was read
   * @param deadlineUs when it expires, counted from {@code arrivedUs}
   */
  public MessageTimeline(
      final long arrivedUs, final long firstByteUs, final long completeUs, final long deadlineUs) {
    this.arrivedUs = arrivedUs;
    this.firstByteUs = firstByteUs;
    this.completeUs = completeUs;
    this.deadlineUs = deadlineUs;
  }

  /** The message was passed to the controller. */
  public void markAccepted(final long nowUs) {
    acceptedUs = nowUs;
  }

  /** The client's message was answered as accepted. */
  public void markAnswered(final long nowUs) {
    answeredUs = nowUs;
  }

  /** An attempt started. */
  public void markAttemptStarted(final long nowUs) {
    attemptStartedUs = nowUs;
  }

  /** An attempt's outcome was received. */
  public void markAttemptEnded(final long nowUs) {
    attemptEndedUs = nowUs;
  }

  /** The message ended, with an outcome that is still to be reported. */
  public void markEnded(final long nowUs) {
    endedUs = nowUs;
  }

  /** Returns how far {@code nowUs} is past the deadline, in microseconds; negative before it. */
  public long latenessUs(final long nowUs) {
    return nowUs - deadlineUs;
  }

  /**
   * Describes the timeline in milliseconds after the earliest time at which the message can have
   * arrived, with "-" for a step that was not reached.
   */
  public String describe(final long confirmedUs) {
    return "deadline "
        + sinceArrivalMs(deadlineUs)
        + ", first byte read "
        + sinceArrivalMs(firstByteUs)
        + ", last byte read "
        + sinceArrivalMs(completeUs)
        + ", accepted "
        + sinceArrivalMs(acceptedUs)
        + ", answered "
        + sinceArrivalMs(answeredUs)
        + ", last attempt started "
        + sinceArrivalMs(attemptStartedUs)
        + ", last attempt ended "
        + sinceArrivalMs(attemptEndedUs)
        + ", ended "
        + sinceArrivalMs(endedUs)
        + ", outcome confirmed "
        + sinceArrivalMs(confirmedUs)
        + " ms after its earliest possible arrival";
  }

  private String sinceArrivalMs(final long us) {
    return us == 0 ? "-" : Long.toString(Math.round((us - arrivedUs) / US_PER_MS));
  }
}
