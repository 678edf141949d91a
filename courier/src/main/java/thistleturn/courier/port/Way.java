package thistleturn.courier.port;

/**
 * A message's way through this process, with the times (us, on the clock of the events; 0: not yet)
 * that tell where it lay when its end came late. It is not kept across a restart. Written on the
 * event loop's thread only.
 */
public final class Way {
  private final long arrivedUs;
  private final long firstByteUs;
  private final long wholeUs;
  private final long timeUpUs;
  private long takenUs;
  private long answeredUs;
  private long attemptUs;
  private long outcomeUs;
  private long endedUs;

  /**
   * A message has been read.
   *
   * @param arrivedUs its last byte lay in the socket's buffer no sooner than this
   * @param firstByteUs its first byte was read
   * @param wholeUs its last byte was read
   * @param timeUpUs its client's time is up, reckoned from {@code arrivedUs}
   */
  public Way(
      final long arrivedUs, final long firstByteUs, final long wholeUs, final long timeUpUs) {
    this.arrivedUs = arrivedUs;
    this.firstByteUs = firstByteUs;
    this.wholeUs = wholeUs;
    this.timeUpUs = timeUpUs;
  }

  /** It was handed to the decisions. */
  public void taken(final long nowUs) {
    takenUs = nowUs;
  }

  /** Its client was answered that it is taken on. */
  public void answered(final long nowUs) {
    answeredUs = nowUs;
  }

  /** An attempt was begun. */
  public void attempt(final long nowUs) {
    attemptUs = nowUs;
  }

  /** An attempt had its outcome. */
  public void outcome(final long nowUs) {
    outcomeUs = nowUs;
  }

  /** It ended, by a notice that is still to be told. */
  public void ended(final long nowUs) {
    endedUs = nowUs;
  }

  /** By how much an end that is known now is late; below 0 if it is in time, us. */
  public long lateUs(final long nowUs) {
    return nowUs - timeUpUs;
  }

  /**
   * Where the time went, in milliseconds after the earliest moment of its arrival; "-" for what
   * never was.
   */
  public String story(final long confirmedUs) {
    return "time up "
        + ms(timeUpUs)
        + ", first byte read "
        + ms(firstByteUs)
        + ", whole "
        + ms(wholeUs)
        + ", taken "
        + ms(takenUs)
        + ", answered "
        + ms(answeredUs)
        + ", last attempt "
        + ms(attemptUs)
        + ", last outcome "
        + ms(outcomeUs)
        + ", ended "
        + ms(endedUs)
        + ", end confirmed "
        + ms(confirmedUs)
        + " ms after it can have arrived";
  }

  private String ms(final long us) {
    return us == 0 ? "-" : Long.toString(Math.round((us - arrivedUs) / 1000.0));
  }
}
