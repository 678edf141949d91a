package thistleturn.lab.virtual;

import java.util.PriorityQueue;

/**
 * Virtual clock with scheduled events, ordered by time and, at equal times, by when they were
 * scheduled.
 */
public final class EventQueue {
  private record Entry(long atUs, long number, Runnable what) {}

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          (one, other) ->
              one.atUs() != other.atUs()
                  ? Long.compare(one.atUs(), other.atUs())
                  : Long.compare(one.number(), other.number()));
  private long nowUs;
  private long planned;

  /** Starts the clock at {@code startUs}. */
  public EventQueue(final long startUs) {
    this.nowUs = startUs;
  }

  /** Current virtual time, us. */
  public long nowUs() {
    return nowUs;
  }

  /** Schedules an event at a time, or now if that time has passed. */
  public void at(final long atUs, final Runnable what) {
    entries.add(new Entry(Math.max(atUs, nowUs), planned++, what));
  }

  /** Schedules an event after a delay, us. */
  public void in(final long delayUs, final Runnable what) {
    at(nowUs + delayUs, what);
  }

  /**
   * Advances to the next scheduled time and runs all its events; returns false if none is scheduled
   * up to {@code untilUs}.
   */
  public boolean step(final long untilUs) {
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
