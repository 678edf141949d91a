package thistleturn.decisions.index;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Finds the entry of greatest value where values change with time by themselves, and by events.
 * What events change is told ({@link #invalidate}) and looked at before the next answer. What time
 * changes is looked at again in turn, each entry after so long for each entry there is: so the cost
 * of looking is the same share of the time however many there are, and the order is as old as that
 * at most. Among equal values the entry that comes first in the order given wins.
 *
 * @param <E> the entries; an entry is in one ranking
 */
public final class Ranking<E extends Ranking.Entry> {
  private static final int FIRST_SIZE = 16;

  private final ToDoubleFunction<E> value;
  private final Comparator<E> order;
  private final long refreshUs;
  private final List<E> invalidated = new ArrayList<>();
  private final TimeHeap<Entry> refreshes = new TimeHeap<>();
  private Entry[] entries = new Entry[FIRST_SIZE];
  private int size;

  /** Something with a value; due as a {@link TimeHeap.Entry} when it was looked at. */
  public abstract static class Entry extends TimeHeap.Entry {
    private double value;
    private int place;
    private boolean isInvalidated;
  }

  /**
   * A ranking without entries. {@code value}: the value now, or {@link Double#NEGATIVE_INFINITY} if
   * the entry has none until it is touched again. {@code lookUs}: how much time is given to a look
   * at one entry, us; 0: all are looked at whenever time has passed.
   */
  public Ranking(final ToDoubleFunction<E> value, final Comparator<E> order, final long lookUs) {
    this.value = value;
    this.order = order;
    this.refreshUs = lookUs;
  }

  /** The entry's value may have changed, or it has one now. */
  public void invalidate(final E entry) {
    final Entry given = entry;
    if (!given.isInvalidated) {
      given.isInvalidated = true;
      invalidated.add(entry);
    }
  }

  /** All values may have changed. */
  @SuppressWarnings("unchecked")
  public void invalidateAll() {
    for (int at = 0; at < size; at++) {
      invalidate((E) entries[at]);
    }
  }

  /** How many entries had a value when last looked at. */
  public int size() {
    return size;
  }

  /** The entry of greatest value, or null if none has one. */
  @SuppressWarnings("unchecked")
  public E best(final long nowUs) {
    refreshDue(nowUs);
    return size == 0 ? null : (E) entries[0];
  }

  /** True if an entry has a value and passes the test. */
  @SuppressWarnings("unchecked")
  public boolean anyOf(final Predicate<E> test, final long nowUs) {
    refreshDue(nowUs);
    for (int at = 0; at < size; at++) {
      if (test.test((E) entries[at])) {
        return true;
      }
    }
    return false;
  }

  @SuppressWarnings("unchecked")
  private void refreshDue(final long nowUs) {
    for (final E entry : invalidated) {
      final Entry given = entry;
      given.isInvalidated = false;
      refresh(entry, nowUs);
    }
    invalidated.clear();
    final long beforeUs = nowUs - Math.max(1, refreshUs * size);
    for (Entry old = refreshes.poll(beforeUs); old != null; old = refreshes.poll(beforeUs)) {
      refresh((E) old, nowUs);
    }
  }

  private void refresh(final E entry, final long nowUs) {
    final Entry given = entry;
    final double now = value.applyAsDouble(entry);
    if (now == Double.NEGATIVE_INFINITY) {
      remove(given);
      return;
    }
    refreshes.schedule(given, nowUs);
    given.value = now;
    if (given.place == 0) {
      if (size == entries.length) {
        entries = Arrays.copyOf(entries, 2 * size);
      }
      siftUp(size++, given);
    } else {
      siftUp(given.place - 1, given);
      siftDown(given.place - 1, given);
    }
  }

  private void remove(final Entry given) {
    refreshes.remove(given);
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

  @SuppressWarnings("unchecked")
  private boolean isAbove(final Entry one, final Entry other) {
    return one.value > other.value
        || (one.value == other.value && order.compare((E) one, (E) other) < 0);
  }

  private void siftUp(final int from, final Entry entry) {
    int at = from;
    while (at > 0 && isAbove(entry, entries[(at - 1) >>> 1])) {
      put(at, entries[(at - 1) >>> 1]);
      at = (at - 1) >>> 1;
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
      if (below + 1 < size && isAbove(entries[below + 1], entries[below])) {
        below++;
      }
      if (!isAbove(entries[below], entry)) {
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
