package thistleturn.lab.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** What was seen of one day over the whole fleet, from outside the couriers. */
public final class FleetTally {
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
    /** Destinations sent out by a courier that had stood still, though they were well. */
    WRONGLY_OUT,
    /** Ends that were late since their courier stood still, told as soon as it ran. */
    LATE_BY_PAUSE
  }

  private final long[][] byCourier;
  private final List<int[]> bins = new ArrayList<>();
  private final List<String> broken = new ArrayList<>();
  private double asked;
  private double gained;
  private long delivered;
  private long handed;
  private double mostOfColdBudget;

  FleetTally(final int couriers) {
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

  void broke(final String what) {
    broken.add(what);
  }

  /** How often something was done, by all couriers. */
  public long total(final Count what) {
    return Arrays.stream(byCourier).mapToLong(one -> one[what.ordinal()]).sum();
  }

  /** How often one courier did it. */
  public long of(final Count what, final int courier) {
    return byCourier[courier][what.ordinal()];
  }

  /** The most that all couriers together did of it in 100 ms. */
  public int mostIn100Ms(final Count what) {
    return bins.stream().mapToInt(bin -> bin[what.ordinal()]).max().orElse(0);
  }

  /** Worth delivered over worth asked for. */
  public double goodput() {
    return asked == 0 ? 1 : gained / asked;
  }

  /** Calls for each message delivered; several messages may share one. */
  public double callsAMessage() {
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
    mostOfColdBudget = Math.max(mostOfColdBudget, share);
  }

  /**
   * The most that all couriers together sent to a destination that had returned cold, as a share of
   * what it bore then.
   */
  public double mostOfColdBudget() {
    return mostOfColdBudget;
  }

  /** Rules broken, in words. */
  public List<String> broken() {
    return broken;
  }

  /** All of it in figures: two days that were the same have the same. */
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
        + broken;
  }
}
