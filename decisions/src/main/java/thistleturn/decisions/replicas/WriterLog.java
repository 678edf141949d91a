package thistleturn.decisions.replicas;

import java.util.Collection;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The entries of one writer by version, and the version up to which none is missing. */
final class WriterLog {
  /** Stands for a log with entries, or one not checked since its last entry was removed. */
  private static final long NOT_EMPTY = Long.MAX_VALUE;

  private final NavigableMap<Long, StoredEntry> entriesByVersion = new TreeMap<>();
  private long contiguousVersion;
  private long emptySinceUs = NOT_EMPTY;

  /** Returns the version up to which nothing is missing. */
  long contiguousVersion() {
    return contiguousVersion;
  }

  /** Returns the version of the latest entry; 0: there is none. */
  long lastVersion() {
    return entriesByVersion.isEmpty() ? 0 : entriesByVersion.lastKey();
  }

  boolean isEmpty() {
    return entriesByVersion.isEmpty();
  }

  int size() {
    return entriesByVersion.size();
  }

  Collection<StoredEntry> all() {
    return entriesByVersion.values();
  }

  /** Returns the entries after a version, in order. */
  Collection<StoredEntry> after(final long version) {
    return entriesByVersion.tailMap(version, false).values();
  }

  void add(final StoredEntry stored) {
    entriesByVersion.put(stored.entry().version(), stored);
    emptySinceUs = NOT_EMPTY;
  }

  void remove(final StoredEntry stored) {
    entriesByVersion.remove(stored.entry().version());
  }

  /** Records a merged delta: if it leaves no gap, nothing is missing up to its end. */
  void recordMerged(final Delta delta) {
    if (delta.afterVersion() <= contiguousVersion) {
      contiguousVersion = Math.max(contiguousVersion, delta.upToVersion());
    }
  }

  /** Records when the log was first found empty. */
  void checkEmpty(final long nowUs) {
    if (!entriesByVersion.isEmpty()) {
      emptySinceUs = NOT_EMPTY;
    } else if (emptySinceUs == NOT_EMPTY) {
      emptySinceUs = nowUs;
    }
  }

  /** Returns true if the log was found empty longer ago than {@code us}. */
  boolean isEmptyForLongerThan(final long us, final long nowUs) {
    return entriesByVersion.isEmpty() && nowUs - emptySinceUs > us;
  }
}
