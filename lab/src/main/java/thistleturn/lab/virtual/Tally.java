package thistleturn.lab.virtual;

import java.util.ArrayList;
import java.util.List;

/** What was seen of one evening, from outside the courier. */
public final class Tally {
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
