package thistleturn.decisions.health;

/** Counts completed messages, and measures their rate per second over the last interval. */
final class CompletionRate {
  private static final long INTERVAL_US = LocalHealth.SECOND_US;

  private long completed;
  private long completedBefore;
  private long measuredUs;
  private double perSecond;

  CompletionRate(final long nowUs) {
    measuredUs = nowUs;
  }

  void recordCompleted() {
    completed++;
  }

  /** Updates the rate if an interval has passed since the last measurement. */
  void update(final long nowUs) {
    final long elapsedUs = nowUs - measuredUs;
    if (elapsedUs >= INTERVAL_US) {
      perSecond = (completed - completedBefore) * (double) LocalHealth.SECOND_US / elapsedUs;
      completedBefore = completed;
      measuredUs = nowUs;
    }
  }

  long completed() {
    return completed;
  }

  double perSecond() {
    return perSecond;
  }
}
