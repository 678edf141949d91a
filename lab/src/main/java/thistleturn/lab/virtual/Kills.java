package thistleturn.lab.virtual;

import java.util.function.UnaryOperator;
import thistleturn.decisions.Memory;

/**
 * A courier's process that is killed again and again: calls that are out break, open messages are taken up from the
 * journal by the next process, and nobody is answered meanwhile.
 *
 * @param lives processes that are killed; one more lives on
 * @param leastLifeUs shortest life of one, us; lives are drawn evenly
 * @param mostLifeUs longest life, us
 * @param startUs time from a kill until the next process serves, us
 * @param recalled what the next process takes up of what was learnt; null: it begins anew
 */
public record Kills(int lives, long leastLifeUs, long mostLifeUs, long startUs, UnaryOperator<Memory> recalled) {
    /** No process is killed. */
    public static final Kills NONE = new Kills(0, 0, 0, 0, null);
}
