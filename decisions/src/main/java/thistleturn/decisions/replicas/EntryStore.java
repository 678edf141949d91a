package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import thistleturn.decisions.index.TimeHeap;

/**
 * One courier's copy of all entries. A writer's entries are ordered by version, and for each writer
 * the store knows the version up to which no entry is missing. One number for each writer thus
 * determines what another courier is missing (Scuttlebutt: van Renesse, Dumitriu, Gough, Thomas,
 * LADIS 2008). Merging takes the maximum version for each writer and key, so entries converge
 * whatever their order and duplication.
 */
final class EntryStore {
  private final ReplicationSettings settings;
  private final Map<EntryKey, Map<WriterId, StoredEntry>> entriesByKey = new HashMap<>();
  private final NavigableMap<WriterId, WriterLog> logs = new TreeMap<>();
  private TimeHeap<StoredEntry> expirations = new TimeHeap<>();
  private int size;
  private long checksum;
  private long rejected;

  EntryStore(final ReplicationSettings settings) {
    this.settings = settings;
  }

  // ---------------------------------------------------------------- reading

  /** Returns how many entries are stored. */
  int size() {
    return size;
  }

  /**
   * Returns a checksum that is equal for stores with the same entries, whatever the creation times
   * of their copies.
   */
  long checksum() {
    return checksum;
  }

  /**
   * Returns how many entries and deltas were rejected because they were invalid or exceeded the
   * capacity.
   */
  long rejected() {
    return rejected;
  }

  /** Returns the version up to which nothing is missing, for each writer of a partition. */
  Map<WriterId, Long> knownVersions(final Partition partition) {
    final Map<WriterId, Long> known = new TreeMap<>();
    logs.forEach(
        (writer, log) -> {
          if (partition.includes(writer) && log.contiguousVersion() > 0) {
            known.put(writer, log.contiguousVersion());
          }
        });
    return known;
  }

  /** Returns the entries on a subject, one for each writer. */
  List<Entry> entries(final EntryType type, final String subject) {
    return entries(EntryKey.of(type, subject));
  }

  private List<Entry> entries(final EntryKey key) {
    return entriesByKey.getOrDefault(key, Map.of()).values().stream()
        .map(StoredEntry::entry)
        .toList();
  }

  /** Returns one writer's entry on a subject; null: there is none. */
  Entry find(final EntryType type, final String subject, final WriterId writer) {
    final StoredEntry stored = find(EntryKey.of(type, subject), writer);
    return stored == null ? null : stored.entry();
  }

  private StoredEntry find(final EntryKey key, final WriterId writer) {
    return entriesByKey.getOrDefault(key, Map.of()).get(writer);
  }

  /** Returns all subjects on which there are entries of a type. */
  Set<String> subjects(final EntryType type) {
    final Set<String> subjects = new LinkedHashSet<>();
    for (final EntryKey key : entriesByKey.keySet()) {
      if (key.typeCode() == type.code()) {
        subjects.add(key.subject());
      }
    }
    return subjects;
  }

  /** Returns all entries, by writer and version. */
  List<Entry> all() {
    final List<Entry> all = new ArrayList<>(size);
    logs.values().forEach(log -> log.all().forEach(stored -> all.add(stored.entry())));
    return all;
  }

  /** Returns some entries, by writer and version, after the given one; null: from the first on. */
  List<Entry> entriesAfter(final Entry after, final int limit) {
    final List<Entry> slice = new ArrayList<>();
    final NavigableMap<WriterId, WriterLog> remaining =
        after == null ? logs : logs.tailMap(after.writer(), true);
    for (final Map.Entry<WriterId, WriterLog> entry : remaining.entrySet()) {
      final boolean isPartlyRead = after != null && entry.getKey().equals(after.writer());
      for (final StoredEntry stored : entry.getValue().after(isPartlyRead ? after.version() : 0)) {
        if (slice.size() >= limit) {
          return slice;
        }
        slice.add(stored.entry());
      }
    }
    return slice;
  }

  /**
   * Returns the entries of a partition that another courier is missing.
   *
   * @param theirVersions for each writer the version up to which it is missing nothing
   * @param maxBytes about how many bytes the result may take; one entry is included in any case
   */
  MissingEntries collectMissing(
      final Map<WriterId, Long> theirVersions,
      final Partition partition,
      final int maxBytes,
      final long nowUs) {
    final MissingEntries.Collector collector =
        new MissingEntries.Collector(theirVersions, maxBytes, nowUs);
    for (final Map.Entry<WriterId, WriterLog> entry : logs.entrySet()) {
      if (partition.includes(entry.getKey()) && !collector.add(entry.getKey(), entry.getValue())) {
        break;
      }
    }
    return collector.result();
  }

  // ---------------------------------------------------------------- merging

  /** Merges a delta; adds the subjects that changed to {@code changed}. */
  void merge(final Delta delta, final long nowUs, final Set<SubjectChanged> changed) {
    if (!delta.isValid()) {
      rejected++;
      return;
    }
    final WriterLog log = logs.computeIfAbsent(delta.writer(), unused -> new WriterLog());
    for (final Entry entry : delta.entries()) {
      if (entry.writer().equals(delta.writer()) && entry.isValid(nowUs)) {
        store(log, entry, nowUs, changed);
      } else {
        rejected++;
      }
    }
    log.recordMerged(delta);
    log.checkEmpty(nowUs);
  }

  private void store(
      final WriterLog log, final Entry entry, final long nowUs, final Set<SubjectChanged> changed) {
    final EntryKey key = EntryKey.of(entry);
    final StoredEntry before = find(key, entry.writer());
    if (before != null && before.entry().version() >= entry.version()) {
      adoptEarlierCreation(log, before, entry);
      return;
    }
    if (entry.expiresUs() <= nowUs
        || entry.version() <= log.contiguousVersion()
        || isSuperseded(entry, key)) {
      return;
    }
    if (before == null
        && (size >= settings.maxEntries() || log.size() >= settings.maxEntriesPerWriter())) {
      rejected++;
      return;
    }
    replace(log, before, new StoredEntry(key, entry));
    changed.add(key.changed());
    removeSuperseded(key, entry);
  }

  /** Adopts an earlier creation time of the same entry, from a copy that arrived faster. */
  private void adoptEarlierCreation(
      final WriterLog log, final StoredEntry before, final Entry entry) {
    final Entry stored = before.entry();
    if (stored.version() == entry.version() && entry.createdUs() < stored.createdUs()) {
      replace(log, before, new StoredEntry(before.key(), stored.withCreatedUs(entry.createdUs())));
    }
  }

  /**
   * Returns true if a stored entry supersedes this one, which was then sent by an outdated store.
   */
  private boolean isSuperseded(final Entry entry, final EntryKey key) {
    if (entry.typeCode() != EntryType.MAINTENANCE.code()) {
      return false;
    }
    for (final Entry other : entries(key)) {
      if (!other.writer().equals(entry.writer())
          && DisableEntry.fromEntry(other).supersedes(entry)) {
        return true;
      }
    }
    return false;
  }

  private void removeSuperseded(final EntryKey key, final Entry by) {
    if (by.typeCode() != EntryType.MAINTENANCE.code()) {
      return;
    }
    final DisableEntry disableEntry = DisableEntry.fromEntry(by);
    for (final StoredEntry other : List.copyOf(entriesByKey.get(key).values())) {
      if (!other.entry().writer().equals(by.writer()) && disableEntry.supersedes(other.entry())) {
        remove(other);
      }
    }
  }

  private void replace(final WriterLog log, final StoredEntry before, final StoredEntry stored) {
    if (before != null) {
      remove(before);
    }
    final Entry entry = stored.entry();
    entriesByKey
        .computeIfAbsent(stored.key(), unused -> new TreeMap<>())
        .put(entry.writer(), stored);
    log.add(stored);
    size++;
    checksum += EntryChecksum.of(entry);
    expirations.schedule(stored, entry.expiresUs());
  }

  private void remove(final StoredEntry stored) {
    final Entry entry = stored.entry();
    final Map<WriterId, StoredEntry> byWriter = entriesByKey.get(stored.key());
    byWriter.remove(entry.writer());
    if (byWriter.isEmpty()) {
      entriesByKey.remove(stored.key());
    }
    logs.get(entry.writer()).remove(stored);
    size--;
    checksum -= EntryChecksum.of(entry);
    expirations.remove(stored);
  }

  // ---------------------------------------------------------------- time

  /** Removes expired entries; adds their subjects to {@code changed}. */
  void expire(final long nowUs, final Set<SubjectChanged> changed) {
    StoredEntry expired = expirations.poll(nowUs);
    while (expired != null) {
      remove(expired);
      changed.add(expired.key().changed());
      expired = expirations.poll(nowUs);
    }
  }

  /**
   * Removes enabling entries that are so old that no courier can still lack them, and the logs of
   * writers without entries.
   */
  void compact(final long nowUs) {
    for (final String subject : subjects(EntryType.MAINTENANCE)) {
      removeIfObsolete(EntryKey.of(EntryType.MAINTENANCE, subject), nowUs);
    }
    logs.values().forEach(log -> log.checkEmpty(nowUs));
    logs.values().removeIf(log -> log.isEmptyForLongerThan(EntryType.WAIT.maxTtlUs(), nowUs));
  }

  private void removeIfObsolete(final EntryKey key, final long nowUs) {
    final List<StoredEntry> stored = List.copyOf(entriesByKey.get(key).values());
    if (stored.size() != 1) {
      return;
    }
    final Entry only = stored.get(0).entry();
    final boolean isDisabling = DisableEntry.fromEntry(only).disabled();
    if (!isDisabling && nowUs - only.createdUs() > settings.tombstoneRetentionUs()) {
      remove(stored.get(0));
    }
  }

  /** Removes all entries and known versions, so that entries can be merged again. */
  void clear() {
    entriesByKey.clear();
    logs.clear();
    expirations = new TimeHeap<>();
    size = 0;
    checksum = 0;
  }
}
