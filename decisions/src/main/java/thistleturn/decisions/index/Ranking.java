package thistleturn.decisions.index;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Finds the entry with the greatest value where values change both with time and by events. An
 * entry that an event changes is invalidated ({@link #invalidate}) and its value recomputed before
 * the next query. To follow time, the values of all entries are recomputed in turn, each once in a
 * period that is proportional to the number of entries. The share of time spent on that is
 * therefore independent of the number of entries, and the order is at most that period out of date.
 * Among equal values the entry that comes first in the given order wins.
 *
 * @param <E> the entries; an entry is in one ranking
 */
public final class Ranking<E extends Ranking.Entry> {
  private static final int INITIAL_CAPACITY = 16;

  private final ToDoubleFunction<E> value;
  private final Comparator<E> tieBreaker;
  private final long refreshUs;
  private final List<E> invalidated = new ArrayList<>();

  /** The entries with a value, ordered by the time of its last computation. */
  private final TimeHeap<Entry> refreshes = new TimeHeap<>();

  /** A binary max-heap of the entries with a value. */
  private Entry[] heap = new Entry[INITIAL_CAPACITY];

  private int size;

  /**
   * An entry with a value. As a {@link TimeHeap.Entry} its due time is that of the last computation
   * of the value.
   */
  public abstract static class Entry extends TimeHeap.Entry {
    private static final int NOT_RANKED = -1;

    private double value;
    private int rankingPosition = NOT_RANKED;
    private boolean isInvalidated;
  }

  /**
   * Creates a ranking without entries.
   *
   * @param value the value of an entry now, or {@link Double#NEGATIVE_INFINITY} if it has none
   *     until it is invalidated again
   * @param tieBreaker the order among entries of equal value
   * @param refreshUs time budgeted for the refresh of one entry, us; 0 if all are refreshed
   *     whenever time has passed
   */
  public Ranking(
      final ToDoubleFunction<E> value, final Comparator<E> tieBreaker, final long refreshUs) {
    this.value = value;
    this.tieBreaker = tieBreaker;
    this.refreshUs = refreshUs;
  }

  /** Marks an entry whose value may have changed, or that may now have one. */
  public void invalidate(final E entry) {
    final Entry changed = entry;
    if (!changed.isInvalidated) {
      changed.isInvalidated = true;
      invalidated.add(entry);
    }
  }

  /** Marks all entries as possibly changed. */
  @SuppressWarnings("unchecked")
  public void invalidateAll() {
    for (int position = 0; position < size; position++) {
      invalidate((E) heap[position]);
    }
  }

  /** Returns how many entries had a value at its last computation. */
  public int size() {
    return size;
  }

  /** Returns the entry with the greatest value, or null if none has one. */
  @SuppressWarnings("unchecked")
  public E best(final long nowUs) {
    refreshDue(nowUs);
    return size == 0 ? null : (E) heap[0];
  }

  /** Returns whether any entry with a value passes the test. */
  @SuppressWarnings("unchecked")
  public boolean anyOf(final Predicate<E> test, final long nowUs) {
    refreshDue(nowUs);
    for (int position = 0; position < size; position++) {
      if (test.test((E) heap[position])) {
        return true;
      }
    }
    return false;
  }

  /** Recomputes the values that were invalidated or are too old. */
  @SuppressWarnings("unchecked")
  private void refreshDue(final long nowUs) {
    for (final E entry : invalidated) {
      final Entry changed = entry;
      changed.isInvalidated = false;
      refresh(entry, nowUs);
    }
    invalidated.clear();
    final long tooOldUs = nowUs - Math.max(1, refreshUs * size);
    for (Entry old = refreshes.poll(tooOldUs); old != null; old = refreshes.poll(tooOldUs)) {
      refresh((E) old, nowUs);
    }
  }

  private void refresh(final E entry, final long nowUs) {
    final Entry ranked = entry;
    final double current = value.applyAsDouble(entry);
    if (current == Double.NEGATIVE_INFINITY) {
      remove(ranked);
      return;
    }
    refreshes.schedule(ranked, nowUs);
    ranked.value = current;
    if (ranked.rankingPosition == Entry.NOT_RANKED) {
      insert(ranked);
    } else {
      siftUp(ranked.rankingPosition, ranked);
      siftDown(ranked.rankingPosition, ranked);
    }
  }

  private void insert(final Entry entry) {
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    siftUp(size++, entry);
  }

  private void remove(final Entry entry) {
    refreshes.remove(entry);
    if (entry.rankingPosition == Entry.NOT_RANKED) {
      return;
    }
    final int hole = entry.rankingPosition;
    entry.rankingPosition = Entry.NOT_RANKED;
    final Entry last = heap[--size];
    heap[size] = null;
    if (last != entry) {
      siftUp(hole, last);
      siftDown(last.rankingPosition, last);
    }
  }

  @SuppressWarnings("unchecked")
  private boolean isAbove(final Entry one, final Entry other) {
    return one.value > other.value
        || (one.value == other.value && tieBreaker.compare((E) one, (E) other) < 0);
  }

  private void siftUp(final int from, final Entry entry) {
    int position = from;
    while (position > 0) {
      final int parent = (position - 1) >>> 1;
      if (!isAbove(entry, heap[parent])) {
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
      if (child + 1 < size && isAbove(heap[child + 1], heap[child])) {
        child++;
      }
      if (!isAbove(heap[child], entry)) {
        break;
      }
      place(position, heap[child]);
      position = child;
    }
    place(position, entry);
  }

  private void place(final int position, final Entry entry) {
    heap[position] = entry;
    entry.rankingPosition = position;
  }
}
