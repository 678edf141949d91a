package thistleturn.courier.port;

import java.util.Collection;

/**
 * What outlasts the process. Records are safe from the end of this process once {@link #flush} has
 * returned {@link Flush#SAFE} after them: it is called ahead of whatever they promise, once for all
 * that a pass brought. What was recorded since the last such flush outlasts the process whole or
 * not at all. All methods run on the event loop's thread.
 */
public interface Store {
  /** What became of the records since the last flush that was safe. */
  enum Flush {
    /** They outlast the process. */
    SAFE,
    /**
     * None of them outlasts the process; they are kept, and written with the next flush that
     * succeeds.
     */
    FAILED,
    /** The folder does not tell whether they outlast the process; they are kept as well. */
    UNKNOWN
  }

  /** What the courier owes an end or a notice, in the order taken. */
  Collection<Held> live();

  /** True while an end or a notice is owed for a message of that id. */
  boolean holds(String id);

  /**
   * Records a message that is taken on; false, and nothing taken, if there is no room for it, or
   * nothing can be written now.
   */
  boolean take(Held held);

  /** Records an attempt that begins now, before its call's first byte. */
  void begin(Held held, long nowUs, String zone);

  /** Records the outcome of an attempt. */
  void settle(Held held, boolean neverRan);

  /** Records that a message has ended and that only its notice is still owed. */
  void owe(Held held, Held.Notice notice);

  /** Records that nothing is owed for a message any more. */
  void over(Held held);

  /**
   * Makes all that was recorded so far safe. Unless that succeeded, nothing may be promised on the
   * strength of it.
   */
  Flush flush();

  /** False from a flush that failed until one that succeeds. */
  boolean isWritable();
}
