package thistleturn.courier.runtime;

/**
 * The two clocks of a courier, in microseconds. Everything runs on the monotonic one; the wall clock is for what
 * outlasts the process, since a monotonic clock means nothing to the next one.
 */
public final class Clock {
    private static final long NS_PER_US = 1000;
    private static final long US_PER_MS = 1000;

    /** Far from zero, so that "never yet" (zero) lies long ago for the decisions. */
    private final long originUs = wallUs();
    private final long originNs = System.nanoTime();

    /** Now, on the clock that never moves back. */
    public long nowUs() {
        return originUs + (System.nanoTime() - originNs) / NS_PER_US;
    }

    /** Now, in Unix time. */
    public long wallUs() {
        return System.currentTimeMillis() * US_PER_MS;
    }

    /** A moment of the wall clock on the monotonic one, as the two stand to each other now. */
    public long fromWallUs(final long wallUs) {
        return nowUs() + wallUs - wallUs();
    }

    /** A moment of the monotonic clock on the wall one, as the two stand to each other now. */
    public long toWallUs(final long us) {
        return wallUs() + us - nowUs();
    }
}
