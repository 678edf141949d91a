package thistleturn.decisions.model;

/** The figures of the rules that the courier keeps towards destinations. */
public record Guarantees(
    long subscriptionDeadlineUs,
    double coldCapacityShare,
    long warmUpUs,
    double overloadMultiple,
    long settleDelayUs) {
  /**
   * Returns the load that overloads a destination that has warmed up for so long, as a share of its
   * whole capacity.
   */
  public double overloadShare(final long warmingUs) {
    final double warm = (double) warmingUs / Math.max(1, warmUpUs);
    return overloadMultiple
        * (coldCapacityShare + (1 - coldCapacityShare) * Math.max(0, Math.min(1, warm)));
  }
}
