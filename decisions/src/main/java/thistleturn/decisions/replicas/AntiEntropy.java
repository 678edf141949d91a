package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Finds and closes differences between this courier's store and others': checksums show that two
 * stores differ, digests which versions each of them knows, and batches carry what is missing, in
 * bounded pieces.
 */
final class AntiEntropy {
  /** How many couriers are asked for a part each, by one that is far behind. */
  private static final int MAX_PARALLEL_REQUESTS = 3;

  /** Couriers for each interval between checksums; in larger fleets it grows. */
  private static final int MEMBERS_PER_CHECKSUM_INTERVAL = 10;

  /** Writers in a digest, so that it fits into one datagram. */
  private static final int WRITERS_PER_DIGEST = 12;

  /** A request is not repeated sooner than this, unless a batch has arrived. */
  private static final long REQUEST_INTERVAL_US = 200_000;

  private final ReplicationSettings settings;
  private final EntryStore store;
  private final ReachablePeers peers;
  private final ReplicationSender sender;
  private final SplittableRandom random;
  private long nextChecksumUs;
  private long lastRequestUs = Long.MIN_VALUE / 2;

  /** When this store was last found equal with another; 0: never. */
  private long lastSyncedUs;

  private boolean caughtUp;

  AntiEntropy(
      final ReplicationSettings settings,
      final EntryStore store,
      final ReachablePeers peers,
      final ReplicationSender sender,
      final SplittableRandom random,
      final long nowUs) {
    this.settings = settings;
    this.store = store;
    this.peers = peers;
    this.sender = sender;
    this.random = random;
    this.nextChecksumUs = nowUs;
  }

  // ---------------------------------------------------------------- being in sync

  /**
   * Returns true once this store was found equal with another, or received all that it missed,
   * since the start.
   */
  boolean isCaughtUp() {
    return caughtUp;
  }

  /** Returns when this store was last found equal with another, or caught up; 0: never. */
  long lastSyncedUs() {
    return lastSyncedUs;
  }

  /** Restores when an earlier process of this courier was last in sync. */
  void restoreLastSynced(final long us) {
    lastSyncedUs = us;
  }

  /**
   * Returns true if this store was apart from all others for so long that their state counts, not
   * its own.
   */
  boolean isSeparated(final long nowUs) {
    return lastSyncedUs != 0 && nowUs - lastSyncedUs > settings.maxSeparationUs();
  }

  private void markSynced(final long nowUs) {
    lastSyncedUs = nowUs;
    caughtUp = true;
  }

  // ---------------------------------------------------------------- comparing

  /**
   * Compares checksums with the next tick: a new courier may miss everything, and have everything.
   */
  void compareSoon() {
    nextChecksumUs = Long.MIN_VALUE;
  }

  /** Sends the checksum to a random courier, if that is due. There must be one. */
  void tick(final long nowUs) {
    if (nowUs < nextChecksumUs) {
      return;
    }
    final long intervalUs =
        settings.checksumIntervalUs() * Math.max(1, peers.size() / MEMBERS_PER_CHECKSUM_INTERVAL);
    nextChecksumUs = nowUs + intervalUs / 2 + random.nextLong(intervalUs);
    sender.send(peers.pick(), new ReplicationMessage.Checksum(store.checksum(), store.size()));
  }

  /** Another courier's checksum arrived: if it differs, what is missing is requested. */
  void onChecksum(final String from, final ReplicationMessage.Checksum theirs, final long nowUs) {
    if (theirs.value() == store.checksum()) {
      markSynced(nowUs);
      return;
    }
    final boolean isFarBehind = theirs.entryCount() > 2L * store.size() + WRITERS_PER_DIGEST;
    requestMissing(from, isFarBehind ? MAX_PARALLEL_REQUESTS : 1, nowUs);
  }

  // ---------------------------------------------------------------- requesting

  /** Requests what is missing here: from one courier, or from several for a part each. */
  private void requestMissing(final String first, final int count, final long nowUs) {
    if (nowUs - lastRequestUs < REQUEST_INTERVAL_US) {
      return;
    }
    lastRequestUs = nowUs;
    final int writers = store.knownVersions(Partition.ALL).size();
    final int partitions =
        Math.max(Math.min(count, peers.size()), 1 + writers / WRITERS_PER_DIGEST);
    final List<String> asked = withOthers(first, count);
    for (int index = 0; index < partitions; index++) {
      final Partition partition = new Partition(index, partitions);
      sendDigest(asked.get(index % asked.size()), partition, store.knownVersions(partition), true);
    }
  }

  private List<String> withOthers(final String first, final int count) {
    final List<String> chosen = new ArrayList<>(List.of(first));
    for (final String peer : peers.pick(count)) {
      if (!peer.equals(first) && chosen.size() < count) {
        chosen.add(peer);
      }
    }
    return chosen;
  }

  private void sendDigest(
      final String to,
      final Partition partition,
      final Map<WriterId, Long> knownVersions,
      final boolean replyRequested) {
    sender.send(
        to,
        new ReplicationMessage.Digest(
            partition.index(), partition.count(), knownVersions, replyRequested));
  }

  /**
   * A batch arrived and was merged: what remains is requested from a random courier, so that
   * serving is shared.
   */
  void onBatchMerged(
      final String from, final ReplicationMessage.DeltaBatch batch, final long nowUs) {
    if (!batch.hasMore()) {
      markSynced(nowUs);
      return;
    }
    final String next = peers.isEmpty() ? from : peers.pick();
    final Partition partition = new Partition(batch.partition(), batch.partitionCount());
    sendDigest(next, partition, versionsCoveredBy(batch, partition), false);
  }

  /**
   * Returns where a batch left off: what is known by now and, of writers in the batch, the end of
   * what it carried. Otherwise what lies behind a gap that nobody can fill any more would be sent
   * again and again.
   */
  private Map<WriterId, Long> versionsCoveredBy(
      final ReplicationMessage.DeltaBatch batch, final Partition partition) {
    final Map<WriterId, Long> covered = store.knownVersions(partition);
    for (final Delta delta : batch.deltas()) {
      covered.merge(delta.writer(), delta.lastVersion(), Math::max);
    }
    return covered;
  }

  // ---------------------------------------------------------------- serving

  /**
   * Another courier's digest arrived: it is sent what it misses, and asked back if it knows more.
   */
  void onDigest(final String from, final ReplicationMessage.Digest digest, final long nowUs) {
    final Partition partition = new Partition(digest.partition(), digest.partitionCount());
    if (sender.availableBatchBytes() > 0) {
      final int maxBytes =
          (int) Math.min(ReplicationProtocol.MAX_BATCH_BYTES, sender.availableBatchBytes());
      final MissingEntries missing =
          store.collectMissing(digest.knownVersions(), partition, maxBytes, nowUs);
      sender.sendBatch(
          from,
          new ReplicationMessage.DeltaBatch(
              partition.index(), partition.count(), missing.deltas(), missing.hasMore()));
    }
    final Map<WriterId, Long> known = store.knownVersions(partition);
    if (digest.replyRequested() && isBehind(known, digest.knownVersions())) {
      sendDigest(from, partition, known, false);
    }
  }

  private static boolean isBehind(
      final Map<WriterId, Long> ours, final Map<WriterId, Long> theirs) {
    for (final Map.Entry<WriterId, Long> entry : theirs.entrySet()) {
      if (entry.getValue() > ours.getOrDefault(entry.getKey(), 0L)) {
        return true;
      }
    }
    return false;
  }
}
