package thistleturn.testkit.rig;

import java.util.List;

/**
 * A fault of a schedule.
 *
 * @param atMs when it begins, ms
 * @param forMs its duration, ms; 0 if it lasts to the end or is instantaneous
 * @param kind the kind of fault
 * @param targets the numbers of the processes that it affects; of a cut, the senders
 * @param others of a cut, the receivers; of a break, the other ends of the connections
 * @param value the share for LOSS and DOUBLE, ms for DELAY, the share of a core for STARVE
 */
public record Fault(
    long atMs, long forMs, Kind kind, List<Integer> targets, List<Integer> others, double value) {
  /** Kinds of faults. */
  public enum Kind {
    /** Kills the process with SIGKILL. */
    KILL,
    /** Starts one that was killed or left again, as a new incarnation. */
    START,
    /** Ends the process with SIGTERM. */
    LEAVE,
    /** SIGSTOP, and SIGCONT at the end. */
    PAUSE,
    /** The process gets that share of a core. */
    STARVE,
    /** No data pass from one to the other. */
    CUT,
    /** Resets the open connections between them, both ways. */
    BREAK,
    /** That share of datagrams is lost between all; connections stall as for a retransmission. */
    LOSS,
    /** That share of datagrams is duplicated. */
    DOUBLE,
    /** Datagrams are delayed by a random time up to that, so that they may be reordered. */
    DELAY
  }

  /** Copies the lists, so that they are immutable. */
  public Fault {
    targets = List.copyOf(targets);
    others = List.copyOf(others);
  }

  /** When it ends, ms; {@link Long#MAX_VALUE} without an end. */
  public long endMs() {
    return forMs == 0 ? Long.MAX_VALUE : atMs + forMs;
  }
}
