package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Statistics of one simulated run over all couriers, observed from outside them. */
public final class FleetStatistics {
  private static final long BIN_US = 100_000;

  /** What is counted. */
  public enum Count {
    CALLS,
    REFUSED_CALLS,
    HANDSHAKES,
    REFUSED_CONNECTIONS,
    LIST_CALLS,
    LIST_CALLS_TURNED_AWAY,
    REFUSED_MESSAGES,
    /** Healthy destinations whose circuit a courier opened after it had been paused. */
    WRONGLY_OUT,
    /**
     * Final outcomes that were late because the courier was paused, reported as soon as it ran
     * again.
     */
    LATE_BY_PAUSE
  }

  private final long[][] byCourier;
  private final List<int[]> bins = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private double asked;
  private double gained;
  private long delivered;
  private long handed;
  private double maxColdBudgetShare;

  FleetStatistics(final int couriers) {
    byCourier = new long[couriers][Count.values().length];
  }

  void count(final Count what, final int courier, final long atUs) {
    byCourier[courier][what.ordinal()]++;
    final int bin = (int) Math.max(0, atUs / BIN_US);
    while (bins.size() <= bin) {
      bins.add(new int[Count.values().length]);
    }
    bins.get(bin)[what.ordinal()]++;
  }

  void handed(final double worth) {
    handed++;
    asked += worth;
  }

  void delivered(final double worth) {
    delivered++;
    gained += worth;
  }

  void violated(final String what) {
    violations.add(what);
  }

  /** The count over all couriers. */
  public long total(final Count what) {
    return Arrays.stream(byCourier).mapToLong(one -> one[what.ordinal()]).sum();
  }

  /** The count of one courier. */
  public long of(final Count what, final int courier) {
    return byCourier[courier][what.ordinal()];
  }

  /** The highest count of all couriers together in 100 ms. */
  public int maxIn100Ms(final Count what) {
    return bins.stream().mapToInt(bin -> bin[what.ordinal()]).max().orElse(0);
  }

  /** Value delivered over value handed in. */
  public double goodput() {
    return asked == 0 ? 1 : gained / asked;
  }

  /** Calls per delivered message; several messages may share a call. */
  public double callsPerMessage() {
    return (double) total(Count.CALLS) / Math.max(1, delivered);
  }

  /** Messages that clients handed in. */
  public long handed() {
    return handed;
  }

  /** Messages delivered. */
  public long delivered() {
    return delivered;
  }

  void coldBudget(final double share) {
    maxColdBudgetShare = Math.max(maxColdBudgetShare, share);
  }

  /**
   * The highest number of calls that all couriers together sent to a destination that had returned
   * cold, as a share of what it could bear at that moment.
   */
  public double maxColdBudgetShare() {
    return maxColdBudgetShare;
  }

  /** Descriptions of the rules that were violated. */
  public List<String> violations() {
    return violations;
  }

  /** All figures; equal for two runs that went the same way. */
  @Override
  public String toString() {
    return handed
        + " "
        + delivered
        + " "
        + gained
        + " "
        + Arrays.deepToString(byCourier)
        + " "
        + violations;
  }
}
