package thistleturn.lab.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import thistleturn.decisions.model.Guarantees;
import thistleturn.lab.model.CallFault;
import thistleturn.lab.model.Limit;
import thistleturn.lab.model.SlowStartModel;

/**
 * A destination shared by all couriers: its rate limit, its endpoints' connections and its
 * disturbance.
 */
final class SharedDestination {
  private static final double CAPACITY = 1.3;
  private static final long DOWN_US = 5 * FleetScenario.SECOND_US;

  /** Window over which calls are counted to decide whether a returning destination collapses. */
  private static final long COLLAPSE_WINDOW_US = 3 * FleetScenario.SECOND_US;

  private static final long LOWERED_US = 9 * FleetScenario.SECOND_US;

  /** One endpoint in this many is unresponsive, for this long. */
  private static final int UNRESPONSIVE_ONE_IN = 5;

  private static final long UNRESPONSIVE_US = 6 * FleetScenario.SECOND_US;

  private final int index;
  private final long unresponsiveFromUs;
  final FleetScenario.Destination shape;

  /** Open connections of each endpoint, idle ones included. */
  private final int[] connections;

  private final Limit limit;
  private final Limit lowered;
  private final long loweredFromUs;
  private final SlowStartModel outage;

  /** The disturbance, if any, begins at {@code fromUs} of the virtual clock. */
  SharedDestination(
      final int index,
      final FleetScenario.Destination shape,
      final FleetScenario.Disturbance disturbance,
      final long fromUs,
      final Guarantees rules) {
    this.index = index;
    this.unresponsiveFromUs =
        disturbance == FleetScenario.Disturbance.SPLIT ? fromUs : Long.MAX_VALUE / 2;
    this.shape = shape;
    this.connections = new int[shape.endpoints()];
    this.limit =
        Limit.slidingWindow(shape.ratePerSecond(), FleetScenario.SECOND_US, shape.waitUs());
    this.lowered =
        Limit.slidingWindow(
            Math.max(1, shape.ratePerSecond() / 2), FleetScenario.SECOND_US, shape.waitUs());
    this.loweredFromUs =
        disturbance == FleetScenario.Disturbance.JOIN ? fromUs : Long.MAX_VALUE / 2;
    this.outage =
        disturbance != FleetScenario.Disturbance.ZONE
                && disturbance != FleetScenario.Disturbance.PAUSED_ZONE
            ? null
            : new SlowStartModel(
                fromUs,
                fromUs + DOWN_US,
                CAPACITY * shape.ratePerSecond(),
                rules.coldCapacityShare(),
                rules.warmUpUs(),
                rules.overloadMultiple(),
                COLLAPSE_WINDOW_US);
  }

  /** Opens a connection at an endpoint; false if it accepts no more. */
  boolean connects(final int endpoint) {
    if (connections[endpoint] >= shape.connections()) {
      return false;
    }
    connections[endpoint]++;
    return true;
  }

  /** True while an endpoint is unresponsive. */
  boolean isUnresponsive(final int endpoint, final long nowUs) {
    return (index + endpoint) % UNRESPONSIVE_ONE_IN == 0
        && nowUs >= unresponsiveFromUs
        && nowUs < unresponsiveFromUs + UNRESPONSIVE_US;
  }

  void disconnected(final int endpoint) {
    connections[endpoint]--;
  }

  /** Decides what happens to a call that arrives now. */
  CallFault takes(final long nowUs) {
    final CallFault fault = outage == null ? CallFault.SERVE : outage.arrives(nowUs);
    if (fault != CallFault.SERVE) {
      return fault;
    }
    final boolean isLowered = nowUs >= loweredFromUs && nowUs < loweredFromUs + LOWERED_US;
    return (isLowered ? lowered : limit).takes(nowUs) ? CallFault.SERVE : CallFault.REFUSE;
  }

  /** True if the scenario does not disturb this destination. */
  boolean isWell() {
    return outage == null
        && unresponsiveFromUs > Long.MAX_VALUE / 4
        && loweredFromUs > Long.MAX_VALUE / 4;
  }

  /** The highest number of calls in a window after its return, as a share of what it could bear. */
  double maxColdBudgetShare() {
    return outage == null ? 0 : outage.maxBudgetShare();
  }

  boolean hasCollapsed() {
    return outage != null && outage.hasCollapsed();
  }

  /**
   * The discovery service shared by all couriers: it serves requests in order and rejects those
   * that would wait too long.
   */
  static final class Discovery {
    private static final long MOST_WAIT_US = FleetScenario.SECOND_US;
    private final long callUs;
    private final Deque<Long> ends = new ArrayDeque<>();

    Discovery(final long callUs) {
      this.callUs = callUs;
    }

    /** When a request that arrives now is answered, us, or -1 if it is rejected. */
    long answeredUs(final long nowUs) {
      while (!ends.isEmpty() && ends.peekFirst() <= nowUs) {
        ends.removeFirst();
      }
      final long endUs = Math.max(nowUs, ends.isEmpty() ? nowUs : ends.peekLast()) + callUs;
      if (endUs > nowUs + MOST_WAIT_US) {
        return -1;
      }
      ends.addLast(endUs);
      return endUs;
    }
  }
}
