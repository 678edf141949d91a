package thistleturn.decisions.model;

/**
 * A class of message. {@code keyScopedToZone}: only endpoints of one zone recognize each other's
 * idempotency keys.
 */
public record MessageClass(
    String name,
    Idempotence idempotence,
    boolean keyScopedToZone,
    boolean orderedByKey,
    double priorityWeight,
    double lateWeight,
    long latencyObjectiveUs,
    long deadlineUs,
    long idempotencyWindowUs) {
  /** Share of a key's window that is not used: clocks, and bytes on their way. */
  private static final double KEY_MARGIN = 0.05;

  /** How long after the first attempt that may have run its key surely holds, us. */
  public long safeKeyWindowUs() {
    return (long) ((1 - KEY_MARGIN) * idempotencyWindowUs);
  }

  /**
   * Until when a message may go again that may have run first at that moment, us: while its key
   * surely holds.
   */
  public long retryDeadlineUs(final boolean mayHaveRun, final long firstRunUs) {
    return mayHaveRun && idempotence == Idempotence.IDEMPOTENT_BY_KEY
        ? firstRunUs + safeKeyWindowUs()
        : Long.MAX_VALUE;
  }
}
