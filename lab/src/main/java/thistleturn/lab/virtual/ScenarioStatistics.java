package thistleturn.lab.virtual;

import java.util.ArrayList;
import java.util.List;

/** What was seen of one evening, from outside the courier. */
public final class ScenarioStatistics {
  /** One second of it. */
  public static final class Second {
    private int handed;
    private int delivered;
    private int calls;
    private int refusedCalls;

    /** Messages handed in; messages of that second's that were delivered. */
    public int handed() {
      return handed;
    }

    /** Messages handed in within this second that were delivered in the end. */
    public int delivered() {
      return delivered;
    }

    /** Calls that came to partners. */
    public int calls() {
      return calls;
    }

    /** Of these, those refused. */
    public int refusedCalls() {
      return refusedCalls;
    }
  }

  private final List<Second> seconds = new ArrayList<>();
  private final List<String> broken = new ArrayList<>();

  /**
   * Moments from the start of the traffic, us: when processes began to serve after a kill, and
   * messages were served.
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

  /** When the last process began to serve, us; long ago if none was killed. */
  long startedUs() {
    return starts.isEmpty() ? Long.MIN_VALUE / 2 : starts.get(starts.size() - 1);
  }

  /** Processes that were killed and came back. */
  public int kills() {
    return starts.size();
  }

  /**
   * For each process after a kill, how long after it began to serve it had served, within a span,
   * as many messages as a steady rate serves in it, us; one that was killed before that counts as
   * long as it lived.
   */
  public List<Long> untilRateUs(final double perSecond, final long spanUs) {
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

  void broke(final String what) {
    broken.add(what);
  }

  /** Second by second, from the start of the traffic. */
  public List<Second> seconds() {
    return seconds;
  }

  /** Rules broken, in words. */
  public List<String> broken() {
    return broken;
  }

  /** Messages handed in. */
  public int handed() {
    return handed;
  }

  /** Messages delivered. */
  public int delivered() {
    return delivered;
  }

  /** Messages that ended undelivered: for want of room at the door, refused, failed. */
  public int undelivered() {
    return turnedAway + refused + failed;
  }

  /** Calls that came to partners. */
  public int calls() {
    return calls;
  }

  /** Calls that were refused. */
  public int refusedCalls() {
    return refusedCalls;
  }

  /** Delivered over handed in. */
  public double goodput() {
    return (double) delivered / Math.max(1, handed);
  }

  /** Calls for each message delivered. */
  public double callsAMessage() {
    return (double) calls / Math.max(1, delivered);
  }

  /** Refused calls for each message handed in. */
  public double refusedAMessage() {
    return (double) refusedCalls / Math.max(1, handed);
  }
}
