package thistleturn.eureka;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thistleturn.decisions.membership.SourceReport;

/**
 * The instances of a registry in the order of its responses. Each has a key, a status, a report,
 * and the length and digest of its text, by which an unchanged text is recognized without being
 * parsed. They are in parallel arrays with a hash index, which take some 30 bytes for each instance
 * beside its key and report.
 */
final class Instances {
  private static final int NONE = -1;
  private static final int MIN_CAPACITY = 16;

  /** Spreads the hash codes of keys that differ only in their last characters. */
  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  /** The distinct statuses of instances; a status's number is its index here. */
  private final List<String> statuses = new ArrayList<>();

  private String[] keys = new String[MIN_CAPACITY];
  private SourceReport[] reports = new SourceReport[MIN_CAPACITY];

  /** The number of each instance's status, or {@link #NONE} if the instance was removed. */
  private byte[] statusNumbers = new byte[MIN_CAPACITY];

  private long[] digests = new long[MIN_CAPACITY];
  private int[] lengths = new int[MIN_CAPACITY];
  private int size;
  private int removed;

  /** Positions by the hash of their key, with open addressing; null until it is needed. */
  private int[] index;

  /** The number of positions, including those of removed instances. */
  int positions() {
    return size;
  }

  /** The number of instances. */
  int count() {
    return size - removed;
  }

  /** Appends an instance, or replaces the one with its key. */
  void put(
      final String key,
      final String status,
      final SourceReport report,
      final long digest,
      final int length) {
    final int position = index == null ? NONE : find(key);
    if (position != NONE) {
      set(position, key, status, report, digest, length);
      return;
    }
    if (size == keys.length) {
      resize(Math.max(MIN_CAPACITY, size + (size >> 1)));
    }
    set(size, key, status, report, digest, length);
    size++;
    if (index != null) {
      if (2 * size > index.length) {
        index = null;
      } else {
        addToIndex(size - 1);
      }
    }
  }

  private void set(
      final int position,
      final String key,
      final String status,
      final SourceReport report,
      final long digest,
      final int length) {
    keys[position] = key;
    statusNumbers[position] = statusNumber(status);
    reports[position] = report;
    digests[position] = digest;
    lengths[position] = length;
  }

  private byte statusNumber(final String status) {
    int number = statuses.indexOf(status);
    if (number < 0) {
      // A registry has a handful of statuses; if it has too many, the rest share one number.
      number = statuses.size() < Byte.MAX_VALUE ? statuses.size() : Byte.MAX_VALUE - 1;
      if (number == statuses.size()) {
        statuses.add(status);
      }
    }
    return (byte) number;
  }

  /** Removes an instance, if it is there. */
  void remove(final String key) {
    final int position = find(key);
    if (position != NONE) {
      // Its position stays occupied, because the index has to find the keys behind it; the empty
      // text that replaces its key equals no key.
      statusNumbers[position] = NONE;
      reports[position] = null;
      digests[position] = 0;
      lengths[position] = 0;
      keys[position] = "";
      removed++;
    }
  }

  /** The position of a key, or -1. */
  int find(final String key) {
    if (index == null) {
      index = new int[Integer.highestOneBit(Math.max(MIN_CAPACITY, 2 * size)) << 1];
      Arrays.fill(index, NONE);
      for (int position = 0; position < size; position++) {
        addToIndex(position);
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
    return ((key.hashCode() * HASH_MULTIPLIER) >>> 7) & index.length - 1;
  }

  private void addToIndex(final int position) {
    int slot = slot(keys[position]);
    while (index[slot] != NONE) {
      slot = slot + 1 & index.length - 1;
    }
    index[slot] = position;
  }

  String key(final int position) {
    return keys[position];
  }

  String status(final int position) {
    return statuses.get(statusNumbers[position]);
  }

  SourceReport report(final int position) {
    return reports[position];
  }

  long digest(final int position) {
    return digests[position];
  }

  /** The length of an instance's text, or 0 if it is not known. */
  int length(final int position) {
    return position >= 0 && position < size ? lengths[position] : 0;
  }

  /** Whether the instance at this position was removed. */
  boolean isRemoved(final int position) {
    return statusNumbers[position] == NONE;
  }

  /** Releases unused capacity. */
  void trim() {
    resize(Math.max(1, size));
  }

  private void resize(final int capacity) {
    keys = Arrays.copyOf(keys, capacity);
    reports = Arrays.copyOf(reports, capacity);
    statusNumbers = Arrays.copyOf(statusNumbers, capacity);
    digests = Arrays.copyOf(digests, capacity);
    lengths = Arrays.copyOf(lengths, capacity);
  }

  /** The number of instances by status, in the format of registries: "DOWN_1_UP_7_". */
  String hash() {
    final int[] counts = new int[statuses.size()];
    for (int position = 0; position < size; position++) {
      if (statusNumbers[position] != NONE) {
        counts[statusNumbers[position]]++;
      }
    }
    final Map<String, Integer> byStatus = new TreeMap<>();
    for (int number = 0; number < counts.length; number++) {
      if (counts[number] > 0) {
        byStatus.put(statuses.get(number), counts[number]);
      }
    }
    final StringBuilder hash = new StringBuilder();
    byStatus.forEach((status, count) -> hash.append(status).append('_').append(count).append('_'));
    return hash.toString();
  }
}
