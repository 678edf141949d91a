package thistleturn.decisions.model;

/** Parameters of the rules that the courier observes towards destinations. */
public record Guarantees(
    long subscriptionDeadlineUs,
    double coldCapacityShare,
    long warmUpUs,
    double overloadMultiple,
    long settleDelayUs) {
  /**
   * Returns the load that overloads a destination that has warmed up for that time, as a share of
   * its full capacity.
   */
  public double overloadShare(final long warmingUs) {
    final double warm = (double) warmingUs / Math.max(1, warmUpUs);
    return overloadMultiple
        * (coldCapacityShare + (1 - coldCapacityShare) * Math.max(0, Math.min(1, warm)));
  }
}
