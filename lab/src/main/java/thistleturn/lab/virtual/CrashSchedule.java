package thistleturn.lab.virtual;

/**
 * A courier's process that is killed again and again: calls that are out break, open messages are
 * taken up from the journal by the next process, and nobody is answered meanwhile.
 *
 * @param lives processes that are killed; one more lives on
 * @param leastLifeUs shortest life of one, us; lives are drawn evenly
 * @param mostLifeUs longest life, us
 * @param startUs time from a kill until the next process serves, us
 * @param remembers true if the next process takes up what was learnt; else it begins anew
 */
public record CrashSchedule(
    int lives, long leastLifeUs, long mostLifeUs, long startUs, boolean remembers) {
  /** No process is killed. */
  public static final CrashSchedule NONE = new CrashSchedule(0, 0, 0, 0, false);
}
