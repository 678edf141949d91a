package thistleturn.lab.virtual;

import java.util.PriorityQueue;

/** Virtual time: what is to happen, in the order of its moments, and of its planning among equals. */
final class Agenda {
    private record Entry(long atUs, long number, Runnable what) { }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>((one, other) -> one.atUs() != other.atUs()
            ? Long.compare(one.atUs(), other.atUs()) : Long.compare(one.number(), other.number()));
    private long nowUs;
    private long planned;

    Agenda(final long startUs) {
        this.nowUs = startUs;
    }

    long nowUs() {
        return nowUs;
    }

    void at(final long atUs, final Runnable what) {
        entries.add(new Entry(Math.max(atUs, nowUs), planned++, what));
    }

    void in(final long delayUs, final Runnable what) {
        at(nowUs + delayUs, what);
    }

    /** Lets all happen that is planned for the next moment; false if that is after a given one, or never. */
    boolean step(final long untilUs) {
        if (entries.isEmpty() || entries.peek().atUs() > untilUs) {
            nowUs = Math.max(nowUs, untilUs);
            return false;
        }
        nowUs = entries.peek().atUs();
        while (!entries.isEmpty() && entries.peek().atUs() == nowUs) {
            entries.poll().what().run();
        }
        return true;
    }
}
