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
 * One courier's part in replicating the state of its fleet. Messages, own entries and ticks come
 * in; what is to be sent, and which subjects changed, goes out through {@link ReplicationActions}.
 * Timestamps are microseconds on a clock that goes on while the process is paused. Not safe for use
 * by several threads.
 *
 * <p>New entries are broadcast ({@link BroadcastQueue}); what is lost is made up for by comparing
 * checksums with another courier now and then, and by requesting what is missing ({@link
 * AntiEntropy}).
 */
public final class ReplicationProtocol {
  /** Bytes of a datagram's content. */
  public static final int MAX_DATAGRAM_BYTES = 900;

  /** Bytes of a batch. */
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
   * Starts the protocol.
   *
   * @param self under which entries are written here; no other store of this courier may have
   *     written under it
   * @param seed of all random choices
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
   * Restores what an earlier process of this courier stored; to be called before anything else.
   *
   * @param lastSyncedUs when it was last found equal with another, on the present clock, perhaps
   *     before its start
   */
  public void restore(final Collection<Delta> deltas, final long lastSyncedUs, final long nowUs) {
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    deltas.forEach(delta -> store.merge(delta, nowUs, changed));
    antiEntropy.restoreLastSynced(lastSyncedUs);
    notifier.notifyChanged(changed);
  }

  /**
   * An operator disables an endpoint here, or enables it; that supersedes all entries on it that
   * are known here.
   */
  public void setEndpointDisabled(
      final String endpoint, final boolean disabled, final String operator, final long nowUs) {
    writer.writeDisabled(endpoint, disabled, operator, nowUs);
  }

  /** A destination told this courier to wait until then. */
  public void recordWait(final String destination, final long untilUs, final long nowUs) {
    writer.writeWait(destination, untilUs, nowUs);
  }

  /** This courier found that a destination failed, or that it serves again after it failed. */
  public void recordOutage(final String destination, final boolean isOut, final long nowUs) {
    writer.writeOutage(destination, isOut, nowUs);
  }

  /** A destination stated how many calls a second it accepts from all couriers. */
  public void recordRateLimit(final String destination, final double perSecond, final long nowUs) {
    writer.writeRate(EntryType.LIMIT, destination, perSecond, nowUs);
  }

  /** This courier was rejected there, and keeps to so many calls a second since. */
  public void recordLearnedRate(
      final String destination, final double perSecond, final long nowUs) {
    writer.writeRate(EntryType.LEARNT, destination, perSecond, nowUs);
  }

  /** This courier received that version of the endpoint list. */
  public void recordListVersion(final String source, final long sequence, final long nowUs) {
    writer.writeListVersion(source, sequence, nowUs);
  }

  // ---------------------------------------------------------------- time

  /**
   * Replaces the addresses that can be reached now, as {@link ReplicationActions} takes them,
   * without this courier's own.
   */
  public void setReachablePeers(final Collection<String> reachable) {
    if (peers.replace(reachable)) {
      antiEntropy.compareSoon();
    }
  }

  /** To be called every {@link ReplicationSettings#tickIntervalUs}. */
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

  /** A message arrived from a courier that can be answered at that address. */
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
   * This courier was apart from all others for so long that they may have forgotten why an entry
   * was superseded: what they hold counts, and of what is stored here only what operators decided
   * here meanwhile.
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
   * If others hold more of this writer's entries than it wrote, someone else wrote under its id:
   * this one takes another id.
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

  /** Merges deltas of others. Returns the entries of those that changed something. */
  private List<Entry> merge(final List<Delta> deltas, final long nowUs) {
    final Set<SubjectChanged> changed = new LinkedHashSet<>();
    final List<Entry> news = new ArrayList<>();
    for (final Delta delta : deltas) {
      if (delta.writer().equals(writer.self())) {
        detectForeignWrites(delta.upToVersion());
        continue;
      }
      final int changedBefore = changed.size();
      store.merge(delta, nowUs, changed);
      if (changed.size() > changedBefore) {
        news.addAll(delta.entries());
      }
    }
    notifier.notifyChanged(changed);
    return news;
  }

  // ---------------------------------------------------------------- reading

  /** Returns what counts on a subject. */
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
   * Returns some of the stored entries, by writer and version. What is added or removed between two
   * calls may or may not be included.
   *
   * @param after the last entry of the previous call; null: from the first on
   * @return empty when there are no more
   */
  public List<Entry> entriesAfter(final Entry after, final int limit) {
    return store.entriesAfter(after, limit);
  }

  /** Returns all stored entries by writers, for a snapshot or a comparison. */
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
   * Returns true once this store was found equal with another, or received all that it missed,
   * since the start.
   */
  public boolean isCaughtUp() {
    return antiEntropy.isCaughtUp();
  }

  /** Returns when this store was last found equal with another, or caught up; 0: never. */
  public long lastSyncedUs() {
    return antiEntropy.lastSyncedUs();
  }

  /** Returns about how many bytes were sent so far. */
  public long sentBytes() {
    return sender.sentBytes();
  }

  /**
   * Returns how many entries, deltas and digests were rejected, since they are invalid or exceed
   * the capacity.
   */
  public long rejectedInputs() {
    return store.rejected() + writer.rejected() + invalidDigests;
  }
}
