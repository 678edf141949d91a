package thistleturn.courier.port;

import java.util.Collection;

/**
 * What outlasts the process. Records are safe from the end of this process once {@link #flush} has returned true after
 * them: it is called ahead of whatever they promise, once for all that a pass brought. All methods run on the event
 * loop's thread.
 */
public interface Store {
    /** What the courier owes an end or a notice, in the order taken. */
    Collection<Held> live();

    /** True while an end or a notice is owed for a message of that id. */
    boolean holds(String id);

    /** Records a message that is taken on; false, and nothing taken, if there is no room for it. */
    boolean take(Held held);

    /** Records an attempt, before its call's first byte; false if that failed, and then it may not be made. */
    boolean begin(Held held, long wallUs, String zone);

    /** Records the outcome of an attempt. */
    void settle(Held held, boolean neverRan);

    /** Records that a message has ended and that only its notice is still owed. */
    void owe(Held held, Held.Notice notice);

    /** Records that nothing is owed for a message any more. */
    void over(Held held);

    /**
     * Makes all that was recorded so far safe; false if that failed. Then nothing may be promised on the strength of
     * what was recorded since it was last true; it is made up for with a later record.
     */
    boolean flush();
}
