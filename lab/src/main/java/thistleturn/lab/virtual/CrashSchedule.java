package thistleturn.lab.virtual;

/**
 * Repeated crashes of a courier process: calls in flight break, the next process resumes the
 * pending messages from the journal, and no client is answered in between.
 *
 * @param crashes how many processes are killed; the process after the last crash keeps running
 * @param minLifetimeUs shortest lifetime of a process, us; lifetimes are uniformly distributed
 * @param maxLifetimeUs longest lifetime, us
 * @param startUs time from a kill until the next process serves, us
 * @param keepsLearnedState true if the next process restores the learned state
 */
public record CrashSchedule(
    int crashes, long minLifetimeUs, long maxLifetimeUs, long startUs, boolean keepsLearnedState) {
  /** No process is killed. */
  public static final CrashSchedule NONE = new CrashSchedule(0, 0, 0, 0, false);
}
