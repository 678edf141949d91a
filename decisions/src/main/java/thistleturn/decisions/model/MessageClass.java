package thistleturn.decisions.model;

/**
 * A class of messages. If {@code keyScopedToZone} is set, only endpoints of the same zone recognize
 * each other's idempotency keys.
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
  /** Unused share of a key's window, for clock differences and transmission delays. */
  private static final double KEY_MARGIN = 0.05;

  /** Returns how long a key is safely recognized after its first possible execution, us. */
  public long safeKeyWindowUs() {
    return (long) ((1 - KEY_MARGIN) * idempotencyWindowUs);
  }

  /**
   * Returns the time until which a message may be retried, us: if it may already have been executed
   * and is idempotent by key, while its key is safely recognized.
   */
  public long retryDeadlineUs(final boolean mayHaveExecuted, final long firstExecutionUs) {
    return mayHaveExecuted && idempotence == Idempotence.IDEMPOTENT_BY_KEY
        ? firstExecutionUs + safeKeyWindowUs()
        : Long.MAX_VALUE;
  }
}
