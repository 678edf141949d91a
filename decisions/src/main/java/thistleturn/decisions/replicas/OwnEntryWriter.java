package thistleturn.decisions.replicas;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Writes this courier's own entries. Versions increase by one. If other couriers have entries under
 * its writer id that this store did not write, it continues under a new id, from version 1.
 */
final class OwnEntryWriter {
  private final EntryStore store;
  private final BroadcastQueue broadcasts;
  private final ChangeNotifier notifier;
  private WriterId self;
  private long version;
  private long rejected;

  OwnEntryWriter(
      final EntryStore store,
      final BroadcastQueue broadcasts,
      final ChangeNotifier notifier,
      final WriterId self) {
    this.store = store;
    this.broadcasts = broadcasts;
    this.notifier = notifier;
    this.self = self;
  }

  /** Returns the id under which entries are written. */
  WriterId self() {
    return self;
  }

  /** Returns the version of the last entry that was written. */
  long version() {
    return version;
  }

  /** Returns how many entries were rejected as invalid. */
  long rejected() {
    return rejected;
  }

  /** Continues under a new writer id, which has no entries yet. */
  void startNewStore() {
    self = new WriterId(self.name(), self.epoch() + 1);
    version = 0;
  }

  /** Writes an operator's decision on an endpoint, which supersedes all known ones. */
  void writeDisabled(
      final String endpoint, final boolean disabled, final String operator, final long nowUs) {
    final List<Entry> known = store.entries(EntryType.MAINTENANCE, endpoint);
    final DisableEntry entry = DisableEntry.superseding(known, self, disabled, operator);
    write(EntryType.MAINTENANCE, endpoint, 0, entry.toFields(), nowUs);
  }

  /** Writes until when a destination asked to wait, unless the own entry lasts as long. */
  void writeWait(final String destination, final long untilUs, final long nowUs) {
    final long ttlUs = Math.min(EntryType.WAIT.maxTtlUs(), untilUs - nowUs);
    final Entry before = store.find(EntryType.WAIT, destination, self);
    if (ttlUs > 0 && (before == null || before.expiresUs() < nowUs + ttlUs)) {
      write(EntryType.WAIT, destination, ttlUs, List.of(), nowUs);
    }
  }

  /** Writes that a destination failed, or that it serves again. */
  void writeOutage(final String destination, final boolean isOut, final long nowUs) {
    write(EntryType.OUTAGE, destination, EntryType.OUTAGE.maxTtlUs(), List.of(isOut), nowUs);
  }

  /** Writes a rate of calls if it changed or half of the last entry's time to live is over. */
  void writeRate(
      final EntryType type, final String destination, final double perSecond, final long nowUs) {
    final Entry before = store.find(type, destination, self);
    if (before == null || before.callsPerSecond() != perSecond || isHalfOver(before, type, nowUs)) {
      write(type, destination, type.maxTtlUs(), List.of(perSecond), nowUs);
    }
  }

  /**
   * Writes the version of the endpoint list if it changed or half of the last entry's time to live
   * is over.
   */
  void writeListVersion(final String source, final long sequence, final long nowUs) {
    final Entry before = store.find(EntryType.LIST, source, self);
    if (before == null
        || before.listVersion() != sequence
        || isHalfOver(before, EntryType.LIST, nowUs)) {
      write(EntryType.LIST, source, EntryType.LIST.maxTtlUs(), List.of(sequence), nowUs);
    }
  }

  private static boolean isHalfOver(final Entry entry, final EntryType type, final long nowUs) {
    return nowUs - entry.createdUs() > type.maxTtlUs() / 2;
  }

  private void write(
      final EntryType type,
      final String subject,
      final long ttlUs,
      final List<Object> fields,
      final long nowUs) {
    final Entry entry = new Entry(type.code(), subject, self, version + 1, ttlUs, nowUs, fields);
    if (!entry.isValid(nowUs)) {
      rejected++;
      return;
    }
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    store.merge(Delta.single(entry), nowUs, changed);
    version++;
    broadcasts.enqueueOwn(entry);
    notifier.notifyChanged(changed);
  }
}
