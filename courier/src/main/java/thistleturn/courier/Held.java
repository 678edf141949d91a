package thistleturn.courier;

import thistleturn.decisions.Courier;

/**
 * A message that this courier owes an end, as the journal keeps it (times in Unix microseconds): what its client
 * handed in, and what became of it so far. Once it has ended by a notice, only the notice is still owed.
 */
final class Held {
    static final long NEVER = Long.MAX_VALUE;
    private static final byte[] NOTHING = {};

    final String id;
    final String className;
    final String idempotencyKey;
    final long destination;
    final long validUntilWallUs;
    private byte[] body;
    private int attempts;
    private long firstRunWallUs = NEVER;
    private String runZone = "";
    /** When the attempt that is out was begun; never, while none is. */
    private long outWallUs = NEVER;
    private String outZone = "";
    private Notice notice;

    /** The end that the platform is told: a failure, or a refusal with the time after which to come again. */
    record Notice(boolean failed, long againMs) { }

    Held(final String id, final String className, final String idempotencyKey, final long destination,
         final long validUntilWallUs, final byte[] body) {
        this.id = id;
        this.className = className;
        this.idempotencyKey = idempotencyKey;
        this.destination = destination;
        this.validUntilWallUs = validUntilWallUs;
        this.body = body;
    }

    void begin(final long wallUs, final String zone) {
        attempts++;
        outWallUs = wallUs;
        outZone = zone;
    }

    /** The attempt that was out has its outcome. */
    void settle(final boolean neverRan) {
        if (!neverRan && outWallUs != NEVER) {
            firstRunWallUs = Math.min(firstRunWallUs, outWallUs);
            runZone = outZone;
        }
        outWallUs = NEVER;
    }

    void restore(final int attemptsUsed, final long firstRun, final String zone) {
        attempts = attemptsUsed;
        firstRunWallUs = firstRun;
        runZone = zone;
    }

    /** Only its notice is owed from now on, and that needs no body: many may wait while the platform is away. */
    void owe(final Notice owed) {
        notice = owed;
        body = NOTHING;
    }

    /** What its client handed in; empty once only its notice is owed. */
    byte[] body() {
        return body;
    }

    Notice notice() {
        return notice;
    }

    int attempts() {
        return attempts;
    }

    long firstRunWallUs() {
        return firstRunWallUs;
    }

    String runZone() {
        return runZone;
    }

    boolean isOut() {
        return outWallUs != NEVER;
    }

    long outWallUs() {
        return outWallUs;
    }

    String outZone() {
        return outZone;
    }

    /** What a process that did not see the attempts may count on. A call that was out may have run. */
    Courier.Past past(final Clock clock) {
        final long firstWallUs = Math.min(firstRunWallUs, outWallUs);
        final boolean ran = firstWallUs != NEVER;
        return new Courier.Past(attempts, ran, ran ? clock.fromWallUs(firstWallUs) : 0, isOut() ? outZone : runZone);
    }
}
