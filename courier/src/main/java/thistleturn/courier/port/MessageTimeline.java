package thistleturn.courier.port;

/**
 * A message's way through this process, with the times (us, on the clock of the events; 0: not yet)
 * that tell where it lay when its end came late. It is not kept across a restart. Written on the
 * event loop's thread only.
 */
public final class MessageTimeline {
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
   * @param arrivedUs its last byte lay in the socket's buffer no sooner than this
   * @param firstByteUs its first byte was read
   * @param wholeUs its last byte was read
   * @param timeUpUs its client's time is up, reckoned from {@code arrivedUs}
   */
  public MessageTimeline(
      final long arrivedUs, final long firstByteUs, final long wholeUs, final long timeUpUs) {
    this.arrivedUs = arrivedUs;
    this.firstByteUs = firstByteUs;
    this.completeUs = wholeUs;
    this.deadlineUs = timeUpUs;
  }

  /** It was handed to the decisions. */
  public void markAccepted(final long nowUs) {
    acceptedUs = nowUs;
  }

  /** Its client was answered that it is taken on. */
  public void markAnswered(final long nowUs) {
    answeredUs = nowUs;
  }

  /** An attempt was begun. */
  public void markAttemptStarted(final long nowUs) {
    attemptStartedUs = nowUs;
  }

  /** An attempt had its outcome. */
  public void markAttemptEnded(final long nowUs) {
    attemptEndedUs = nowUs;
  }

  /** It ended, by a notice that is still to be told. */
  public void markEnded(final long nowUs) {
    endedUs = nowUs;
  }

  /** By how much an end that is known now is late; below 0 if it is in time, us. */
  public long latenessUs(final long nowUs) {
    return nowUs - deadlineUs;
  }

  /**
   * Where the time went, in milliseconds after the earliest moment of its arrival; "-" for what
   * never was.
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
    return us == 0 ? "-" : Long.toString(Math.round((us - arrivedUs) / 1000.0));
  }
}
