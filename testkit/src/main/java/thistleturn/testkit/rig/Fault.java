package thistleturn.testkit.rig;

import java.util.List;

/**
 * One fault of a schedule.
 *
 * @param atMs when it begins
 * @param forMs for how long; 0: for good, or it takes no time
 * @param kind what it is
 * @param targets the numbers of the processes that it affects; of a cut, the senders
 * @param others of a cut, the receivers; of a break, the other ends of the connections
 * @param value of LOSS and DOUBLE a share, of DELAY ms, of STARVE the share of a core
 */
public record Fault(
    long atMs, long forMs, Kind kind, List<Integer> targets, List<Integer> others, double value) {
  /** Kinds of faults. */
  public enum Kind {
    /** SIGKILL. */
    KILL,
    /** A further life of one that was killed or left. */
    START,
    /** SIGTERM. */
    LEAVE,
    /** SIGSTOP, and SIGCONT when it is over. */
    PAUSE,
    /** It gets that share of a core. */
    STARVE,
    /** Nothing passes from one to the other. */
    CUT,
    /** Open connections between them are reset, both ways. */
    BREAK,
    /**
     * That share of datagrams is lost between all; connections stall as if they were sent again.
     */
    LOSS,
    /** That share of datagrams comes twice. */
    DOUBLE,
    /** Datagrams take up to so much longer, each by lot, so that they overtake each other. */
    DELAY
  }

  /** Lists that nobody changes any more. */
  public Fault {
    targets = List.copyOf(targets);
    others = List.copyOf(others);
  }

  /** When it is over, ms; for good: never. */
  public long endMs() {
    return forMs == 0 ? Long.MAX_VALUE : atMs + forMs;
  }
}
