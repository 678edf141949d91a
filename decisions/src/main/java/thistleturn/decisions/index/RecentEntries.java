package thistleturn.decisions.index;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map from ids to values that forgets each entry some time after it was last put, and the
 * earliest ones first beyond a number. Times must not decrease.
 *
 * @param <V> the type of the values
 */
public final class RecentEntries<V> {
  private final long retentionUs;
  private final int maxEntries;

  /** The entry that was put earliest is first. */
  private final Map<String, Entry<V>> entries = new LinkedHashMap<>();

  private record Entry<V>(V value, long putUs) {}

  /**
   * Creates an empty map.
   *
   * @param retentionUs how long an entry is kept
   * @param maxEntries how many entries are kept
   */
  public RecentEntries(final long retentionUs, final int maxEntries) {
    this.retentionUs = retentionUs;
    this.maxEntries = maxEntries;
  }

  /** Puts a value, which replaces an earlier one of the same id. */
  public void put(final String id, final V value, final long nowUs) {
    entries.remove(id);
    entries.put(id, new Entry<>(value, nowUs));
    final Iterator<Entry<V>> earliestFirst = entries.values().iterator();
    while (isExpired(earliestFirst.next(), nowUs) || entries.size() > maxEntries) {
      earliestFirst.remove();
    }
  }

  /** Returns the value of an id; null if there is none, or if it is forgotten. */
  public V get(final String id, final long nowUs) {
    final Entry<V> entry = entries.get(id);
    return entry == null || isExpired(entry, nowUs) ? null : entry.value();
  }

  /** Returns whether an id has a value. */
  public boolean contains(final String id, final long nowUs) {
    return get(id, nowUs) != null;
  }

  /** Forgets an id. */
  public void remove(final String id) {
    entries.remove(id);
  }

  /** Returns the number of entries that are kept, some of which may have expired. */
  public int size() {
    return entries.size();
  }

  private boolean isExpired(final Entry<V> entry, final long nowUs) {
    return nowUs - entry.putUs() >= retentionUs;
  }
}
