package thistleturn.courier.port;

/**
 * When a message passed each step of its way through this process, to explain an outcome that came
 * late. Times are in microseconds of the loop's clock, 0 for a step that was not reached. It does
 * not outlast the process. Written on the event loop's thread only.
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
   * A message has been read.
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

  /** The message was handed to the controller. */
  public void markAccepted(final long nowUs) {
    acceptedUs = nowUs;
  }

  /** The client was told that its message is accepted. */
  public void markAnswered(final long nowUs) {
    answeredUs = nowUs;
  }

  /** An attempt started. */
  public void markAttemptStarted(final long nowUs) {
    attemptStartedUs = nowUs;
  }

  /** An attempt had its outcome. */
  public void markAttemptEnded(final long nowUs) {
    attemptEndedUs = nowUs;
  }

  /** The message ended, with an outcome that is still to be reported. */
  public void markEnded(final long nowUs) {
    endedUs = nowUs;
  }

  /** Returns by how much an outcome known now is late, in microseconds; below 0 if in time. */
  public long latenessUs(final long nowUs) {
    return nowUs - deadlineUs;
  }

  /**
   * Describes where the time went, in milliseconds after the message can have arrived, with "-" for
   * a step that was not reached.
   */
  public String describe(final long confirmedUs) {
    return "time up "
        + sinceArrivalMs(deadlineUs)
        + ", first byte read "
        + sinceArrivalMs(firstByteUs)
        + ", whole "
        + sinceArrivalMs(completeUs)
        + ", taken "
        + sinceArrivalMs(acceptedUs)
        + ", answered "
        + sinceArrivalMs(answeredUs)
        + ", last attempt "
        + sinceArrivalMs(attemptStartedUs)
        + ", last outcome "
        + sinceArrivalMs(attemptEndedUs)
        + ", ended "
        + sinceArrivalMs(endedUs)
        + ", end confirmed "
        + sinceArrivalMs(confirmedUs)
        + " ms after it can have arrived";
  }

  private String sinceArrivalMs(final long us) {
    return us == 0 ? "-" : Long.toString(Math.round((us - arrivedUs) / US_PER_MS));
  }
}
