package thistleturn.decisions.index;

import java.util.Arrays;

/**
 * A priority queue of entries with a due time, earliest first: a binary heap (Williams 1964) whose
 * entries store their position, so that one can be rescheduled or removed in logarithmic time. The
 * order of entries with the same due time is unspecified.
 *
 * @param <E> the type of the entries; an entry is in at most one heap at a time
 */
public final class TimeHeap<E extends TimeHeap.Entry> {
  private static final int INITIAL_CAPACITY = 16;

  private Entry[] heap = new Entry[INITIAL_CAPACITY];
  private int size;

  /** An entry with a due time. */
  public abstract static class Entry {
    private static final int NOT_IN_HEAP = -1;

    private long dueUs;
    private int position = NOT_IN_HEAP;

    /** Returns the due time, us; only meaningful while the entry is scheduled. */
    public final long dueUs() {
      return dueUs;
    }

    /** Returns true while the entry is in a heap. */
    public final boolean isScheduled() {
      return position != NOT_IN_HEAP;
    }
  }

  /** Adds an entry, or changes its due time; {@link Long#MAX_VALUE} removes it. */
  public void schedule(final E entry, final long dueUs) {
    final Entry scheduled = entry;
    if (dueUs == Long.MAX_VALUE) {
      remove(entry);
    } else if (!entry.isScheduled()) {
      insert(scheduled, dueUs);
    } else if (scheduled.dueUs != dueUs) {
      reschedule(scheduled, dueUs);
    }
  }

  private void insert(final Entry entry, final long dueUs) {
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    entry.dueUs = dueUs;
    siftUp(size++, entry);
  }

  private void reschedule(final Entry entry, final long dueUs) {
    final boolean isEarlier = dueUs < entry.dueUs;
    entry.dueUs = dueUs;
    if (isEarlier) {
      siftUp(entry.position, entry);
    } else {
      siftDown(entry.position, entry);
    }
  }

  /** Removes an entry, if it is scheduled. */
  public void remove(final E entry) {
    final Entry removed = entry;
    if (!entry.isScheduled()) {
      return;
    }
    final int hole = removed.position;
    removed.position = Entry.NOT_IN_HEAP;
    final Entry last = heap[--size];
    heap[size] = null;
    if (last != removed) {
      siftUp(hole, last);
      siftDown(last.position, last);
    }
  }

  /** Returns the earliest due time; {@link Long#MAX_VALUE} if there is no entry. */
  public long earliestDueUs() {
    return size == 0 ? Long.MAX_VALUE : heap[0].dueUs;
  }

  /** Removes and returns the first entry if it is due; returns null otherwise. */
  @SuppressWarnings("unchecked")
  public E poll(final long nowUs) {
    if (size == 0 || heap[0].dueUs > nowUs) {
      return null;
    }
    final E first = (E) heap[0];
    remove(first);
    return first;
  }

  /** Returns the number of entries. */
  public int size() {
    return size;
  }

  private void siftUp(final int from, final Entry entry) {
    int position = from;
    while (position > 0) {
      final int parent = (position - 1) >>> 1;
      if (heap[parent].dueUs <= entry.dueUs) {
        break;
      }
      place(position, heap[parent]);
      position = parent;
    }
    place(position, entry);
  }

  private void siftDown(final int from, final Entry entry) {
    int position = from;
    while (true) {
      int child = 2 * position + 1;
      if (child >= size) {
        break;
      }
      if (child + 1 < size && heap[child + 1].dueUs < heap[child].dueUs) {
        child++;
      }
      if (heap[child].dueUs >= entry.dueUs) {
        break;
      }
      place(position, heap[child]);
      position = child;
    }
    place(position, entry);
  }

  private void place(final int position, final Entry entry) {
    heap[position] = entry;
    entry.position = position;
  }
}
