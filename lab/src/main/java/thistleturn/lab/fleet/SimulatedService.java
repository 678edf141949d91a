package thistleturn.lab.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import thistleturn.decisions.model.Guarantees;
import thistleturn.lab.model.CallFault;
import thistleturn.lab.model.Limit;
import thistleturn.lab.model.SlowStartModel;

/** One destination as all couriers meet it: its rate, its endpoints' connections, its trouble. */
final class SimulatedService {
  private static final double CAPACITY = 1.3;
  private static final long DOWN_US = 5 * FleetDay.SECOND_US;

  /** Over such a span it is counted whether a returning destination is pushed over. */
  private static final long FALL_US = 3 * FleetDay.SECOND_US;

  private static final long LOWERED_US = 9 * FleetDay.SECOND_US;

  /** One endpoint in so many is silent, for so long. */
  private static final int SILENT_OF = 5;

  private static final long SILENT_US = 6 * FleetDay.SECOND_US;

  private final int index;
  private final long silentFromUs;
  final FleetDay.Destination shape;

  /** Connections open at each endpoint, idle ones too. */
  private final int[] connections;

  private final Limit limit;
  private final Limit lowered;
  private final long loweredFromUs;
  private final SlowStartModel outage;

  /** Its trouble begins at that moment of the clock, if there is one. */
  SimulatedService(
      final int index,
      final FleetDay.Destination shape,
      final FleetDay.Trouble trouble,
      final long fromUs,
      final Guarantees rules) {
    this.index = index;
    this.silentFromUs = trouble == FleetDay.Trouble.SPLIT ? fromUs : Long.MAX_VALUE / 2;
    this.shape = shape;
    this.connections = new int[shape.endpoints()];
    this.limit = Limit.sliding(shape.ratePerSecond(), FleetDay.SECOND_US, shape.waitUs());
    this.lowered =
        Limit.sliding(Math.max(1, shape.ratePerSecond() / 2), FleetDay.SECOND_US, shape.waitUs());
    this.loweredFromUs = trouble == FleetDay.Trouble.JOIN ? fromUs : Long.MAX_VALUE / 2;
    this.outage =
        trouble != FleetDay.Trouble.ZONE && trouble != FleetDay.Trouble.PAUSED_ZONE
            ? null
            : new SlowStartModel(
                fromUs,
                fromUs + DOWN_US,
                CAPACITY * shape.ratePerSecond(),
                rules.coldCapacityShare(),
                rules.warmUpUs(),
                rules.overloadMultiple(),
                FALL_US);
  }

  /** True if an endpoint takes one connection more. */
  boolean connects(final int endpoint) {
    if (connections[endpoint] >= shape.connections()) {
      return false;
    }
    connections[endpoint]++;
    return true;
  }

  /** True while an endpoint says nothing. */
  boolean isSilent(final int endpoint, final long nowUs) {
    return (index + endpoint) % SILENT_OF == 0
        && nowUs >= silentFromUs
        && nowUs < silentFromUs + SILENT_US;
  }

  void disconnected(final int endpoint) {
    connections[endpoint]--;
  }

  /** What becomes of a call that comes now. */
  CallFault takes(final long nowUs) {
    final CallFault fate = outage == null ? CallFault.SERVE : outage.arrives(nowUs);
    if (fate != CallFault.SERVE) {
      return fate;
    }
    final boolean isLowered = nowUs >= loweredFromUs && nowUs < loweredFromUs + LOWERED_US;
    return (isLowered ? lowered : limit).takes(nowUs) ? CallFault.SERVE : CallFault.REFUSE;
  }

  /** True if nothing is wrong with it on this day. */
  boolean isWell() {
    return outage == null
        && silentFromUs > Long.MAX_VALUE / 4
        && loweredFromUs > Long.MAX_VALUE / 4;
  }

  /** The most that was sent in a span after its return, as a share of what it bore then. */
  double mostOfColdBudget() {
    return outage == null ? 0 : outage.mostOfBudget();
  }

  boolean isFallen() {
    return outage != null && outage.isFallen();
  }

  /**
   * Discovery, as all couriers meet it: it works through calls in turn, and turns away what would
   * wait too long.
   */
  static final class Listing {
    private static final long MOST_WAIT_US = FleetDay.SECOND_US;
    private final long callUs;
    private final Deque<Long> ends = new ArrayDeque<>();

    Listing(final long callUs) {
      this.callUs = callUs;
    }

    /** When a call that comes now is answered, or -1: it is turned away. */
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
