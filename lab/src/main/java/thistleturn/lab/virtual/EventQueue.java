package thistleturn.lab.virtual;

import java.util.PriorityQueue;

/**
 * Virtual time: what is to happen, in the order of its moments, and of its planning among equals.
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

  /** Begins at a moment, us. */
  public EventQueue(final long startUs) {
    this.nowUs = startUs;
  }

  /** The moment that it is, us. */
  public long nowUs() {
    return nowUs;
  }

  /** Plans something for a moment, or for now if that is past. */
  public void at(final long atUs, final Runnable what) {
    entries.add(new Entry(Math.max(atUs, nowUs), planned++, what));
  }

  /** Plans something for so long from now, us. */
  public void in(final long delayUs, final Runnable what) {
    at(nowUs + delayUs, what);
  }

  /**
   * Lets all happen that is planned for the next moment; false if that is after a given one, or
   * never.
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
