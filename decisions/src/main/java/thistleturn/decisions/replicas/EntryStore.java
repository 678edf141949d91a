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
 * One courier's copy of all entries. Entries of a writer are ordered by version, and a copy knows
 * of each writer up to which version it lacks nothing; so what another lacks is found by one number
 * a writer (Scuttlebutt: van Renesse, Dumitriu, Gough, Thomas, LADIS 2008). Taking over is a
 * maximum by writer and subject: any order and any doubling end in the same.
 */
final class EntryStore {
  /** An entry's place: one writer has one word on a subject. */
  private record EntryKey(int typeCode, String subject) {}

  /** An entry where it is held; due when its time is up. */
  private static final class StoredEntry extends TimeHeap.Entry {
    private final EntryKey key;
    private final Entry entry;

    private StoredEntry(final EntryKey place, final Entry entry) {
      this.key = place;
      this.entry = entry;
    }
  }

  /** What is kept of one writer. */
  private static final class WriterLog {
    /** Up to here nothing is lacking. */
    private long contiguousVersion;

    /** The latest of those that are held; 0: none is. */
    private final NavigableMap<Long, StoredEntry> entries = new TreeMap<>();

    private long emptySinceUs = Long.MAX_VALUE;

    private long lastVersion() {
      return entries.isEmpty() ? 0 : entries.lastKey();
    }
  }

  private static final int DELTA_BYTES = 30;
  private final ReplicationSettings settings;
  private final Map<EntryKey, Map<WriterId, StoredEntry>> entriesByKey = new HashMap<>();
  private final NavigableMap<WriterId, WriterLog> logs = new TreeMap<>();
  private TimeHeap<StoredEntry> expirations = new TimeHeap<>();
  private int size;
  private long checksum;
  private long rejected;

  EntryStore(final ReplicationSettings rules) {
    this.settings = rules;
  }

  // ---------------------------------------------------------------- what is held

  int size() {
    return size;
  }

  /** Equal where the same entries are held, whenever they are thought to have been made. */
  long checksum() {
    return checksum;
  }

  /** Entries that were not taken over since they cannot be meant, or there is no room for them. */
  long rejected() {
    return rejected;
  }

  /** All writers of a part, and up to where each is known. */
  Map<WriterId, Long> knownVersions(final int part, final int parts) {
    final Map<WriterId, Long> known = new TreeMap<>();
    logs.forEach(
        (writer, shelf) -> {
          if (partitionOf(writer, parts) == part && shelf.contiguousVersion > 0) {
            known.put(writer, shelf.contiguousVersion);
          }
        });
    return known;
  }

  /** The words on a subject, one a writer. */
  List<Entry> entries(final EntryType kind, final String subject) {
    return entries(new EntryKey(kind.code(), subject));
  }

  private List<Entry> entries(final EntryKey place) {
    final Map<WriterId, StoredEntry> slots = entriesByKey.get(place);
    return slots == null ? List.of() : slots.values().stream().map(slot -> slot.entry).toList();
  }

  /** A writer's own word on a subject, or null. */
  Entry find(final EntryType kind, final String subject, final WriterId writer) {
    final StoredEntry slot =
        entriesByKey.getOrDefault(new EntryKey(kind.code(), subject), Map.of()).get(writer);
    return slot == null ? null : slot.entry;
  }

  /** All subjects of a kind on which there is a word. */
  Set<String> subjects(final EntryType kind) {
    final Set<String> subjects = new LinkedHashSet<>();
    entriesByKey
        .keySet()
        .forEach(
            place -> {
              if (place.typeCode == kind.code()) {
                subjects.add(place.subject);
              }
            });
    return subjects;
  }

  /** All entries, by writer and version. */
  List<Entry> all() {
    final List<Entry> all = new ArrayList<>(size);
    logs.values().forEach(shelf -> shelf.entries.values().forEach(slot -> all.add(slot.entry)));
    return all;
  }

  /** Some entries after one, by writer and version. */
  List<Entry> entriesAfter(final Entry after, final int most) {
    final List<Entry> slice = new ArrayList<>();
    final NavigableMap<WriterId, WriterLog> from =
        after == null ? logs : logs.tailMap(after.writer(), true);
    for (final Map.Entry<WriterId, WriterLog> one : from.entrySet()) {
      final boolean begun = after != null && one.getKey().equals(after.writer());
      for (final StoredEntry slot :
          (begun ? one.getValue().entries.tailMap(after.version(), false) : one.getValue().entries)
              .values()) {
        if (slice.size() >= most) {
          return slice;
        }
        slice.add(slot.entry);
      }
    }
    return slice;
  }

  static int partitionOf(final WriterId writer, final int parts) {
    return parts <= 1 ? 0 : (int) Math.floorMod(writer.stableHash(), (long) parts);
  }

  // ---------------------------------------------------------------- taking over

  /** Takes over what somebody tells of a writer; subjects on which something changed are added. */
  void merge(final Delta delta, final long nowUs, final Set<SubjectChanged> changed) {
    if (!delta.writer().isValid()
        || delta.afterVersion() < 0
        || delta.upToVersion() < delta.afterVersion()
        || delta.upToVersion() >= Entry.VERSION_LIMIT) {
      rejected++;
      return;
    }
    final WriterLog shelf = logs.computeIfAbsent(delta.writer(), unused -> new WriterLog());
    for (final Entry entry : delta.entries()) {
      if (entry.writer().equals(delta.writer()) && entry.isValid(nowUs)) {
        store(shelf, entry, nowUs, changed);
      } else {
        rejected++;
      }
    }
    if (delta.afterVersion() <= shelf.contiguousVersion) {
      shelf.contiguousVersion = Math.max(shelf.contiguousVersion, delta.upToVersion());
    }
    if (shelf.entries.isEmpty() && shelf.emptySinceUs == Long.MAX_VALUE) {
      shelf.emptySinceUs = nowUs;
    }
  }

  private void store(
      final WriterLog shelf,
      final Entry entry,
      final long nowUs,
      final Set<SubjectChanged> changed) {
    final EntryKey place = new EntryKey(entry.typeCode(), entry.subject());
    final StoredEntry before = entriesByKey.getOrDefault(place, Map.of()).get(entry.writer());
    if (before != null && before.entry.version() >= entry.version()) {
      if (before.entry.version() == entry.version()
          && entry.createdUs() < before.entry.createdUs()) {
        // The same one, which was less long on its way: it ends as much sooner.
        insert(shelf, place, before.entry.withCreatedUs(entry.createdUs()), before);
      }
      return;
    }
    if (entry.expiresUs() <= nowUs
        || entry.version() <= shelf.contiguousVersion
        || isSuperseded(entry, place)) {
      return;
    }
    if (before == null
        && (size >= settings.maxEntries()
            || shelf.entries.size() >= settings.maxEntriesPerWriter())) {
      rejected++;
      return;
    }
    insert(shelf, place, entry, before);
    changed.add(new SubjectChanged(entry.typeCode(), entry.subject()));
    removeSuperseded(place, entry);
  }

  /** True if a word that is held knew of this one: it can only come from a copy that is behind. */
  private boolean isSuperseded(final Entry entry, final EntryKey place) {
    if (entry.typeCode() != EntryType.MAINTENANCE.code()) {
      return false;
    }
    for (final Entry other : entries(place)) {
      if (!other.writer().equals(entry.writer())
          && DisableEntry.fromEntry(other).supersedes(entry)) {
        return true;
      }
    }
    return false;
  }

  private void removeSuperseded(final EntryKey place, final Entry by) {
    if (by.typeCode() == EntryType.MAINTENANCE.code()) {
      final DisableEntry ban = DisableEntry.fromEntry(by);
      for (final StoredEntry other : List.copyOf(entriesByKey.get(place).values())) {
        if (!other.entry.writer().equals(by.writer()) && ban.supersedes(other.entry)) {
          remove(other);
        }
      }
    }
  }

  private void insert(
      final WriterLog shelf, final EntryKey place, final Entry entry, final StoredEntry before) {
    if (before != null) {
      remove(before);
    }
    final StoredEntry slot = new StoredEntry(place, entry);
    entriesByKey.computeIfAbsent(place, unused -> new TreeMap<>()).put(entry.writer(), slot);
    shelf.entries.put(entry.version(), slot);
    shelf.emptySinceUs = Long.MAX_VALUE;
    size++;
    checksum += checksumOf(entry);
    expirations.schedule(slot, entry.expiresUs());
  }

  private void remove(final StoredEntry slot) {
    final Map<WriterId, StoredEntry> words = entriesByKey.get(slot.key);
    words.remove(slot.entry.writer());
    if (words.isEmpty()) {
      entriesByKey.remove(slot.key);
    }
    logs.get(slot.entry.writer()).entries.remove(slot.entry.version());
    size--;
    checksum -= checksumOf(slot.entry);
    expirations.remove(slot);
  }

  /** What an entry adds to the sum: which one it is, not when it is thought to have been made. */
  private static long checksumOf(final Entry entry) {
    return mix(
        entry.version()
            + mix(entry.writer().stableHash() + entry.subject().hashCode() + entry.typeCode()));
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
  private static long mix(final long value) {
    long bits = (value + 1) * 0x9E3779B97F4A7C15L;
    bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
    return bits ^ bits >>> 31;
  }

  // ---------------------------------------------------------------- time

  /** Drops entries whose time is up. */
  void expire(final long nowUs, final Set<SubjectChanged> changed) {
    for (StoredEntry slot = expirations.poll(nowUs); slot != null; slot = expirations.poll(nowUs)) {
      remove(slot);
      changed.add(new SubjectChanged(slot.key.typeCode, slot.key.subject));
    }
  }

  /**
   * Drops words by which an endpoint may serve again that are so old that nobody can still lack
   * them; and empty writers.
   */
  void compact(final long nowUs) {
    for (final String subject : subjects(EntryType.MAINTENANCE)) {
      final List<StoredEntry> words =
          List.copyOf(
              entriesByKey.get(new EntryKey(EntryType.MAINTENANCE.code(), subject)).values());
      if (words.size() == 1
          && !words.get(0).entry.booleanField(0)
          && nowUs - words.get(0).entry.createdUs() > settings.tombstoneRetentionUs()) {
        remove(words.get(0));
      }
    }
    logs.values()
        .forEach(
            shelf -> {
              if (!shelf.entries.isEmpty()) {
                shelf.emptySinceUs = Long.MAX_VALUE;
              } else if (shelf.emptySinceUs == Long.MAX_VALUE) {
                shelf.emptySinceUs = nowUs;
              }
            });
    logs.values()
        .removeIf(
            shelf ->
                shelf.entries.isEmpty() && nowUs - shelf.emptySinceUs > EntryType.WAIT.maxTtlUs());
  }

  /** Forgets all; what was told so far can be told again. */
  void clear() {
    entriesByKey.clear();
    logs.clear();
    expirations = new TimeHeap<>();
    size = 0;
    checksum = 0;
  }

  // ---------------------------------------------------------------- what others lack

  /**
   * What another lacks of some writers' entries, the earliest first.
   *
   * @param theirs up to where the other knows each writer of that part
   * @param mostBytes about how many bytes that may be; one entry goes in any case
   * @param into gets what is lacking
   * @return true if there is more
   */
  boolean collectMissing(
      final Map<WriterId, Long> theirs,
      final int part,
      final int parts,
      final int mostBytes,
      final long nowUs,
      final List<Delta> into) {
    int bytes = 0;
    for (final Map.Entry<WriterId, WriterLog> one : logs.entrySet()) {
      final WriterId writer = one.getKey();
      final WriterLog shelf = one.getValue();
      final long from = theirs.getOrDefault(writer, 0L);
      if ((shelf.contiguousVersion <= from && shelf.lastVersion() <= from)
          || partitionOf(writer, parts) != part) {
        continue;
      }
      final List<Entry> entries = new ArrayList<>();
      for (final StoredEntry slot : shelf.entries.tailMap(from, false).values()) {
        if (bytes >= mostBytes) {
          if (!entries.isEmpty()) {
            final long to =
                Math.min(shelf.contiguousVersion, entries.get(entries.size() - 1).version());
            into.add(new Delta(writer, Math.min(from, to), to, entries));
          }
          return true;
        }
        if (slot.entry.expiresUs() > nowUs) {
          entries.add(slot.entry);
          bytes += slot.entry.estimatedBytes();
        }
      }
      // One behind the gap that a lost writer left is told, too; it says nothing of what is
      // lacking.
      into.add(
          new Delta(
              writer, Math.min(from, shelf.contiguousVersion), shelf.contiguousVersion, entries));
      bytes += DELTA_BYTES;
    }
    return false;
  }
}
