package thistleturn.testkit;

/**
 * An endpoint's answer that a message is over, or has had all its attempts: no call of it begins
 * from then on.
 *
 * @param result what the answer said
 * @param callUs when the first byte of the answered call came
 * @param answeredUs when the answer was written
 */
record StatedEnd(RuleChecker.CallResult result, long callUs, long answeredUs) {
  /** Describes a call that begins after it. */
  String describeLaterCall(final long firstByteUs) {
    return " was sent "
        + (firstByteUs - answeredUs)
        + " us after it was answered "
        + result
        + " (called "
        + callUs
        + ", answered "
        + answeredUs
        + ")";
  }
}
