package thistleturn.lab.virtual;

import java.util.ArrayList;
import java.util.List;

/** Statistics of one simulated run, observed from outside the courier. */
public final class ScenarioStatistics {
  /** Counts of one second of the run. */
  public static final class Second {
    private int handed;
    private int delivered;
    private int calls;
    private int refusedCalls;

    /** Messages handed in within this second. */
    public int handed() {
      return handed;
    }

    /** Messages handed in within this second that were eventually delivered. */
    public int delivered() {
      return delivered;
    }

    /** Calls that arrived at destinations. */
    public int calls() {
      return calls;
    }

    /** Rejected calls among them. */
    public int refusedCalls() {
      return refusedCalls;
    }
  }

  private final List<Second> seconds = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * Times from the start of the traffic, us: when processes began to serve after a crash, and when
   * messages were delivered.
   */
  private final List<Long> starts = new ArrayList<>();

  private final List<Long> served = new ArrayList<>();
  private int handed;
  private int delivered;
  private int turnedAway;
  private int refused;
  private int failed;
  private int calls;
  private int refusedCalls;

  Second second(final long atUs) {
    final int index = (int) (atUs / 1_000_000);
    while (seconds.size() <= index) {
      seconds.add(new Second());
    }
    return seconds.get(index);
  }

  void handed(final long atUs) {
    handed++;
    second(atUs).handed++;
  }

  void delivered(final long handedUs) {
    delivered++;
    second(handedUs).delivered++;
  }

  void called(final long atUs) {
    calls++;
    second(atUs).calls++;
  }

  void callRefused(final long atUs) {
    refusedCalls++;
    second(atUs).refusedCalls++;
  }

  void started(final long atUs) {
    starts.add(atUs);
  }

  void servedAt(final long atUs) {
    served.add(atUs);
  }

  /** When the last process began to serve after a crash, us; far in the past if none crashed. */
  long startedUs() {
    return starts.isEmpty() ? Long.MIN_VALUE / 2 : starts.get(starts.size() - 1);
  }

  /** Number of crashes that were followed by a restart. */
  public int kills() {
    return starts.size();
  }

  /**
   * For each process after a crash, the time from its start until it delivered, within {@code
   * spanUs}, as many messages as {@code perSecond} implies, us. For a process that was killed
   * before that, the time until its last delivery.
   */
  public List<Long> timeToRateUs(final double perSecond, final long spanUs) {
    final long wanted = Math.round(perSecond * spanUs / 1_000_000);
    final List<Long> times = new ArrayList<>();
    for (int process = 0; process < starts.size(); process++) {
      final long fromUs = starts.get(process);
      final long toUs = process + 1 < starts.size() ? starts.get(process + 1) : Long.MAX_VALUE;
      final List<Long> own = served.stream().filter(us -> us >= fromUs && us < toUs).toList();
      long reachedUs = own.isEmpty() ? 0 : own.get(own.size() - 1) - fromUs;
      for (int index = (int) wanted - 1; index >= 0 && index < own.size(); index++) {
        if (own.get(index) - own.get(index - (int) wanted + 1) <= spanUs) {
          reachedUs = own.get(index) - fromUs;
          break;
        }
      }
      times.add(reachedUs);
    }
    return times;
  }

  void turnedAway() {
    turnedAway++;
  }

  void refused() {
    refused++;
  }

  void failed() {
    failed++;
  }

  void violated(final String what) {
    violations.add(what);
  }

  /** Counts by second, from the start of the traffic. */
  public List<Second> seconds() {
    return seconds;
  }

  /** Descriptions of the rules that were violated. */
  public List<String> violations() {
    return violations;
  }

  /** Messages handed in. */
  public int handed() {
    return handed;
  }

  /** Messages delivered. */
  public int delivered() {
    return delivered;
  }

  /** Messages that were not delivered: rejected for lack of room, shed or failed. */
  public int undelivered() {
    return turnedAway + refused + failed;
  }

  /** Calls that arrived at destinations. */
  public int calls() {
    return calls;
  }

  /** Calls that were rejected. */
  public int refusedCalls() {
    return refusedCalls;
  }

  /** Delivered over handed in. */
  public double goodput() {
    return (double) delivered / Math.max(1, handed);
  }

  /** Calls per delivered message. */
  public double callsPerMessage() {
    return (double) calls / Math.max(1, delivered);
  }

  /** Rejected calls per message handed in. */
  public double refusedCallsPerMessage() {
    return (double) refusedCalls / Math.max(1, handed);
  }
}
