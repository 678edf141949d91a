package thistleturn.decisions.index;

import java.util.Arrays;

/**
 * What falls due at a time, earliest first: a binary heap whose entries know their place, so that
 * one can be moved or taken out at the cost of a logarithm (Williams 1964). Entries of one time
 * come in any order.
 *
 * @param <E> what falls due; an entry is in one heap at a time
 */
public final class TimeHeap<E extends TimeHeap.Entry> {
  private static final int FIRST_SIZE = 16;

  private Entry[] entries = new Entry[FIRST_SIZE];
  private int size;

  /** Something that can fall due. */
  public abstract static class Entry {
    private long dueUs;

    /** Its place in the heap and one more; 0: it is in none. */
    private int place;

    /** When it falls due, us; of use only while it is in a heap. */
    public final long dueUs() {
      return dueUs;
    }

    /** True while it is in a heap. */
    public final boolean isScheduled() {
      return place > 0;
    }
  }

  /** Adds an entry, or moves it to another time; {@link Long#MAX_VALUE} takes it out. */
  public void schedule(final E entry, final long dueUs) {
    final Entry given = entry;
    if (dueUs == Long.MAX_VALUE) {
      remove(entry);
    } else if (given.place == 0) {
      if (size == entries.length) {
        entries = Arrays.copyOf(entries, 2 * size);
      }
      given.dueUs = dueUs;
      siftUp(size++, given);
    } else if (given.dueUs != dueUs) {
      final boolean earlier = dueUs < given.dueUs;
      given.dueUs = dueUs;
      if (earlier) {
        siftUp(given.place - 1, given);
      } else {
        siftDown(given.place - 1, given);
      }
    }
  }

  /** Takes an entry out, if it is in. */
  public void remove(final E entry) {
    final Entry given = entry;
    if (given.place == 0) {
      return;
    }
    final int hole = given.place - 1;
    given.place = 0;
    final Entry last = entries[--size];
    entries[size] = null;
    if (last != given) {
      siftUp(hole, last);
      siftDown(last.place - 1, last);
    }
  }

  /** When the first entry falls due; {@link Long#MAX_VALUE} if there is none. */
  public long earliestDueUs() {
    return size == 0 ? Long.MAX_VALUE : entries[0].dueUs;
  }

  /** Takes the first entry out if it is due by then, else null. */
  @SuppressWarnings("unchecked")
  public E poll(final long nowUs) {
    if (size == 0 || entries[0].dueUs > nowUs) {
      return null;
    }
    final E first = (E) entries[0];
    remove(first);
    return first;
  }

  /** How many entries there are. */
  public int size() {
    return size;
  }

  private void siftUp(final int from, final Entry entry) {
    int at = from;
    while (at > 0) {
      final int above = (at - 1) >>> 1;
      if (entries[above].dueUs <= entry.dueUs) {
        break;
      }
      put(at, entries[above]);
      at = above;
    }
    put(at, entry);
  }

  private void siftDown(final int from, final Entry entry) {
    int at = from;
    while (true) {
      int below = 2 * at + 1;
      if (below >= size) {
        break;
      }
      if (below + 1 < size && entries[below + 1].dueUs < entries[below].dueUs) {
        below++;
      }
      if (entries[below].dueUs >= entry.dueUs) {
        break;
      }
      put(at, entries[below]);
      at = below;
    }
    put(at, entry);
  }

  private void put(final int at, final Entry entry) {
    entries[at] = entry;
    entry.place = at + 1;
  }
}
