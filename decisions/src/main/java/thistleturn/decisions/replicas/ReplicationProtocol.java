package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One courier's replica of the state of its fleet. Messages, own entries and ticks are passed in;
 * messages to be sent and changed subjects are passed to {@link ReplicationActions}. Timestamps are
 * in microseconds on a clock that advances while the process is paused. Not thread-safe.
 *
 * <p>New entries are broadcast ({@link BroadcastQueue}). Lost messages are compensated by periodic
 * comparison of checksums with another courier, and by requests for missing entries ({@link
 * AntiEntropy}).
 */
public final class ReplicationProtocol {
  /** Maximum estimated size of a datagram's payload. */
  public static final int MAX_DATAGRAM_BYTES = 900;

  /** Size of a batch's entries; only the last entry may exceed it. */
  public static final int MAX_BATCH_BYTES = 32_000;

  private static final long SECOND_US = 1_000_000;
  private static final long COMPACTION_INTERVAL_US = 60 * SECOND_US;

  private final ReplicationActions actions;
  private final EntryStore store;
  private final ReachablePeers peers;
  private final ReplicationSender sender;
  private final BroadcastQueue broadcasts;
  private final ChangeNotifier notifier;
  private final OwnEntryWriter writer;
  private final AntiEntropy antiEntropy;
  private long nextCompactionUs;
  private long invalidDigests;

  /**
   * Creates the protocol with an empty store.
   *
   * @param self the id under which entries are written here; no other store of this courier may
   *     have written under it
   * @param seed the seed of all random choices
   */
  public ReplicationProtocol(
      final ReplicationSettings settings,
      final WriterId self,
      final long seed,
      final long nowUs,
      final ReplicationActions actions) {
    final SplittableRandom random = new SplittableRandom(seed);
    this.actions = actions;
    this.store = new EntryStore(settings);
    this.peers = new ReachablePeers(random);
    this.sender = new ReplicationSender(settings, actions, nowUs);
    this.broadcasts = new BroadcastQueue(settings, peers, sender);
    this.notifier = new ChangeNotifier(actions);
    this.writer = new OwnEntryWriter(store, broadcasts, notifier, self);
    this.antiEntropy = new AntiEntropy(settings, store, peers, sender, random, nowUs);
    this.nextCompactionUs = nowUs + COMPACTION_INTERVAL_US;
  }

  // ---------------------------------------------------------------- own entries

  /**
   * Restores the entries of an earlier process of this courier; must be called before anything
   * else.
   *
   * @param lastSyncedUs when its store was last found equal to another, on the present clock,
   *     perhaps before the start of this process; 0: never
   */
  public void restore(final Collection<Delta> deltas, final long lastSyncedUs, final long nowUs) {
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    deltas.forEach(delta -> store.merge(delta, nowUs, changed));
    antiEntropy.restoreLastSynced(lastSyncedUs);
    notifier.notifyChanged(changed);
  }

  /**
   * Records that an operator disabled or enabled an endpoint here, which supersedes all entries on
   * it that are known here.
   */
  public void setEndpointDisabled(
      final String endpoint, final boolean disabled, final String operator, final long nowUs) {
    writer.writeDisabled(endpoint, disabled, operator, nowUs);
  }

  /** Records that a destination asked this courier to wait until that time. */
  public void recordWait(final String destination, final long untilUs, final long nowUs) {
    writer.writeWait(destination, untilUs, nowUs);
  }

  /** Records that this courier found a destination to have failed, or to serve again. */
  public void recordOutage(final String destination, final boolean isOut, final long nowUs) {
    writer.writeOutage(destination, isOut, nowUs);
  }

  /** Records how many calls per second a destination accepts from all couriers. */
  public void recordRateLimit(final String destination, final double perSecond, final long nowUs) {
    writer.writeRate(EntryType.LIMIT, destination, perSecond, nowUs);
  }

  /** Records the calls per second to which this courier limits itself after a rejection. */
  public void recordLearnedRate(
      final String destination, final double perSecond, final long nowUs) {
    writer.writeRate(EntryType.LEARNT, destination, perSecond, nowUs);
  }

  /** Records that this courier received a version of the endpoint list. */
  public void recordListVersion(final String source, final long sequence, final long nowUs) {
    writer.writeListVersion(source, sequence, nowUs);
  }

  // ---------------------------------------------------------------- time

  /**
   * Replaces the addresses of the couriers that are reachable now, in the form that {@link
   * ReplicationActions} takes, without this courier's own.
   */
  public void setReachablePeers(final Collection<String> reachable) {
    if (peers.replace(reachable)) {
      antiEntropy.compareSoon();
    }
  }

  /** Must be called every {@link ReplicationSettings#tickIntervalUs}. */
  public void tick(final long nowUs) {
    sender.refill(nowUs);
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    store.expire(nowUs, changed);
    notifier.notifyChanged(changed);
    if (nowUs >= nextCompactionUs) {
      nextCompactionUs = nowUs + COMPACTION_INTERVAL_US;
      store.compact(nowUs);
    }
    if (!peers.isEmpty()) {
      broadcasts.sendRound(nowUs);
      antiEntropy.tick(nowUs);
    }
  }

  // ---------------------------------------------------------------- messages

  /** Handles a message from a courier, which can be answered at that address. */
  public void onMessage(final String from, final ReplicationMessage message, final long nowUs) {
    if (antiEntropy.isSeparated(nowUs)) {
      rejoinAfterSeparation(nowUs);
    }
    if (message instanceof ReplicationMessage.EntryBroadcast broadcast) {
      merge(broadcast.deltas(), nowUs).forEach(broadcasts::enqueueReceived);
    } else if (message instanceof ReplicationMessage.Checksum checksum) {
      antiEntropy.onChecksum(from, checksum, nowUs);
    } else if (message instanceof ReplicationMessage.Digest digest) {
      onDigest(from, digest, nowUs);
    } else if (message instanceof ReplicationMessage.DeltaBatch batch) {
      merge(batch.deltas(), nowUs);
      antiEntropy.onBatchMerged(from, batch, nowUs);
    }
  }

  /**
   * Rejoins after a separation so long that the other couriers may have dropped the entries that
   * superseded some of those stored here. Their state is adopted; of the entries stored here, only
   * the decisions that operators made here during the separation are written again.
   */
  private void rejoinAfterSeparation(final long nowUs) {
    final long separatedUs = antiEntropy.lastSyncedUs();
    final List<Entry> stored = store.all();
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    stored.forEach(entry -> changed.add(new SubjectChanged(entry.typeCode(), entry.subject())));
    final List<Entry> decidedHere =
        stored.stream()
            .filter(entry -> entry.typeCode() == EntryType.MAINTENANCE.code())
            .filter(
                entry -> entry.writer().equals(writer.self()) && entry.createdUs() > separatedUs)
            .toList();
    actions.onEvent(
        "apart from all others for "
            + (nowUs - separatedUs) / SECOND_US
            + " s: what they hold counts");
    store.clear();
    broadcasts.clear();
    antiEntropy.restoreLastSynced(nowUs);
    writer.startNewStore();
    for (final Entry entry : decidedHere) {
      final DisableEntry decision = DisableEntry.fromEntry(entry);
      writer.writeDisabled(entry.subject(), decision.disabled(), decision.operator(), nowUs);
    }
    notifier.notifyChanged(changed);
  }

  private void onDigest(
      final String from, final ReplicationMessage.Digest digest, final long nowUs) {
    if (!new Partition(digest.partition(), digest.partitionCount()).isValid()) {
      invalidDigests++;
      return;
    }
    detectForeignWrites(digest.knownVersions().getOrDefault(writer.self(), 0L));
    antiEntropy.onDigest(from, digest, nowUs);
  }

  /**
   * Checks whether another courier knows a higher version of this writer than it wrote. Then
   * another process wrote under its id, and it continues under a new one.
   */
  private void detectForeignWrites(final long theirVersion) {
    if (theirVersion > writer.version()) {
      actions.onEvent(
          "others hold entry "
              + theirVersion
              + " of "
              + writer.self()
              + ", which wrote "
              + writer.version()
              + ": it begins anew");
      writer.startNewStore();
    }
  }

  /** Merges deltas of other writers. Returns the entries of those that changed the store. */
  private List<Entry> merge(final List<Delta> deltas, final long nowUs) {
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    final List<Entry> newEntries = new ArrayList<>();
    for (final Delta delta : deltas) {
      if (delta.writer().equals(writer.self())) {
        detectForeignWrites(delta.upToVersion());
        continue;
      }
      final int changedBefore = changed.size();
      store.merge(delta, nowUs, changed);
      if (changed.size() > changedBefore) {
        newEntries.addAll(delta.entries());
      }
    }
    notifier.notifyChanged(changed);
    return newEntries;
  }

  // ---------------------------------------------------------------- reading

  /** Returns the merged value of a subject. */
  public MergedValue mergedValue(final EntryType type, final String subject) {
    return MergeRule.merge(type, subject, store.entries(type, subject));
  }

  /** Returns all entries on a subject. */
  public List<Entry> entries(final EntryType type, final String subject) {
    return store.entries(type, subject);
  }

  /** Returns all subjects on which there are entries of a type. */
  public Set<String> subjects(final EntryType type) {
    return store.subjects(type);
  }

  /** Returns the version up to which nothing is missing, for each writer. */
  public Map<WriterId, Long> knownVersions() {
    return store.knownVersions(Partition.ALL);
  }

  /**
   * Returns some of the stored entries, by writer and version. Entries added or removed between two
   * calls may or may not be included.
   *
   * @param after the last entry of the previous call; null to start from the first
   * @return empty when there are no more
   */
  public List<Entry> entriesAfter(final Entry after, final int limit) {
    return store.entriesAfter(after, limit);
  }

  /** Returns all stored entries as one delta for each writer. */
  public List<Delta> allDeltas() {
    final Map<WriterId, List<Entry>> entriesByWriter = new TreeMap<>();
    store
        .all()
        .forEach(
            entry ->
                entriesByWriter
                    .computeIfAbsent(entry.writer(), unused -> new ArrayList<>())
                    .add(entry));
    final List<Delta> all = new ArrayList<>();
    knownVersions()
        .forEach(
            (writerId, version) -> {
              final List<Entry> entries = entriesByWriter.remove(writerId);
              all.add(new Delta(writerId, 0, version, entries == null ? List.of() : entries));
            });
    entriesByWriter.forEach((writerId, entries) -> all.add(new Delta(writerId, 0, 0, entries)));
    return all;
  }

  /** Returns the id under which entries are written here. */
  public WriterId self() {
    return writer.self();
  }

  /** Returns how many entries are stored. */
  public int entryCount() {
    return store.size();
  }

  /** Returns a checksum that is equal for stores with the same entries. */
  public long checksum() {
    return store.checksum();
  }

  /**
   * Returns true once this store was found equal to another since the start, or received everything
   * that it was missing.
   */
  public boolean isCaughtUp() {
    return antiEntropy.isCaughtUp();
  }

  /** Returns when this store was last found equal to another, or caught up; 0: never. */
  public long lastSyncedUs() {
    return antiEntropy.lastSyncedUs();
  }

  /** Returns about how many bytes were sent so far. */
  public long sentBytes() {
    return sender.sentBytes();
  }

  /**
   * Returns how many entries, deltas and digests were rejected because they were invalid or
   * exceeded the capacity.
   */
  public long rejectedInputs() {
    return store.rejected() + writer.rejected() + invalidDigests;
  }
}
