package thistleturn.eureka;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thistleturn.decisions.membership.SourceReport;

/**
 * All that a registry has, in the order in which it tells it: for each instance its key, status and
 * report, with the length and a digest of the text that told it, by which the same text is known
 * again without being read. Kept in parallel arrays with an index of their own: some 30 bytes an
 * instance beside key and report.
 */
final class Instances {
  private static final int NONE = -1;
  private static final int LEAST_PLACES = 16;

  /** Spreads the hash codes of keys that differ in their last figures only. */
  private static final int SPREAD = 0x9E3779B9;

  private final List<String> statuses = new ArrayList<>();
  private String[] keys = new String[LEAST_PLACES];
  private SourceReport[] reports = new SourceReport[LEAST_PLACES];
  private byte[] status = new byte[LEAST_PLACES];
  private long[] digests = new long[LEAST_PLACES];
  private int[] lengths = new int[LEAST_PLACES];
  private int size;
  private int removed;

  /** Positions by the hash of their key, open addressing; made when it is first asked for. */
  private int[] index;

  /** Instances, and places of such as were taken out. */
  int places() {
    return size;
  }

  int count() {
    return size - removed;
  }

  /** Adds one that is not in yet, or puts it in the place of the one with its key. */
  void put(
      final String key,
      final String state,
      final SourceReport report,
      final long digest,
      final int length) {
    final int at = index == null ? NONE : find(key);
    if (at != NONE) {
      set(at, key, state, report, digest, length);
      return;
    }
    if (size == keys.length) {
      resize(Math.max(LEAST_PLACES, size + (size >> 1)));
    }
    set(size, key, state, report, digest, length);
    size++;
    if (index != null) {
      if (2 * size > index.length) {
        index = null;
      } else {
        enter(size - 1);
      }
    }
  }

  private void set(
      final int at,
      final String key,
      final String state,
      final SourceReport report,
      final long digest,
      final int length) {
    keys[at] = key;
    status[at] = number(state);
    reports[at] = report;
    digests[at] = digest;
    lengths[at] = length;
  }

  private byte number(final String state) {
    int number = statuses.indexOf(state);
    if (number < 0) {
      // A registry has a handful of statuses; one that tells hundreds gets them counted as one.
      number = statuses.size() < Byte.MAX_VALUE ? statuses.size() : Byte.MAX_VALUE - 1;
      if (number == statuses.size()) {
        statuses.add(state);
      }
    }
    return (byte) number;
  }

  /** Takes one out, if it is in. */
  void remove(final String key) {
    final int at = find(key);
    if (at != NONE) {
      // Its place stays, so that the index finds its way past it; no key is empty.
      status[at] = NONE;
      reports[at] = null;
      digests[at] = 0;
      lengths[at] = 0;
      keys[at] = "";
      removed++;
    }
  }

  /** Where a key is, or -1. */
  int find(final String key) {
    if (index == null) {
      index = new int[Integer.highestOneBit(Math.max(LEAST_PLACES, 2 * size)) << 1];
      Arrays.fill(index, NONE);
      for (int at = 0; at < size; at++) {
        enter(at);
      }
    }
    int slot = slot(key);
    while (index[slot] != NONE) {
      if (key.equals(keys[index[slot]])) {
        return index[slot];
      }
      slot = slot + 1 & index.length - 1;
    }
    return NONE;
  }

  private int slot(final String key) {
    return ((key.hashCode() * SPREAD) >>> 7) & index.length - 1;
  }

  private void enter(final int at) {
    int slot = slot(keys[at]);
    while (index[slot] != NONE) {
      slot = slot + 1 & index.length - 1;
    }
    index[slot] = at;
  }

  String key(final int at) {
    return keys[at];
  }

  String state(final int at) {
    return statuses.get(status[at]);
  }

  SourceReport report(final int at) {
    return reports[at];
  }

  long digest(final int at) {
    return digests[at];
  }

  /** The length of the text that told it, or 0 if that is not known. */
  int length(final int at) {
    return at >= 0 && at < size ? lengths[at] : 0;
  }

  boolean isThere(final int at) {
    return status[at] != NONE;
  }

  /** Gives back what it holds beyond its size. */
  void trim() {
    resize(Math.max(1, size));
  }

  private void resize(final int to) {
    keys = Arrays.copyOf(keys, to);
    reports = Arrays.copyOf(reports, to);
    status = Arrays.copyOf(status, to);
    digests = Arrays.copyOf(digests, to);
    lengths = Arrays.copyOf(lengths, to);
  }

  /** How many there are of each status, as registries write it: "DOWN_1_UP_7_". */
  String hash() {
    final int[] counts = new int[statuses.size()];
    for (int at = 0; at < size; at++) {
      if (status[at] != NONE) {
        counts[status[at]]++;
      }
    }
    final Map<String, Integer> byStatus = new TreeMap<>();
    for (int number = 0; number < counts.length; number++) {
      if (counts[number] > 0) {
        byStatus.put(statuses.get(number), counts[number]);
      }
    }
    final StringBuilder hash = new StringBuilder();
    byStatus.forEach((state, count) -> hash.append(state).append('_').append(count).append('_'));
    return hash.toString();
  }
}
