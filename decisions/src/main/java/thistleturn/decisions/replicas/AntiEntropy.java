package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Finds and removes differences between this courier's store and those of others. Checksums show
 * that two stores differ, digests show which versions each of them knows, and batches of bounded
 * size carry the missing entries.
 */
final class AntiEntropy {
  /** How many couriers are asked for a partition each if this one is far behind. */
  private static final int MAX_PARALLEL_REQUESTS = 3;

  /** In fleets with more couriers than this, the checksum interval grows with their number. */
  private static final int MEMBERS_PER_CHECKSUM_INTERVAL = 10;

  /** Target number of writers in a digest, so that it fits into one datagram. */
  private static final int WRITERS_PER_DIGEST = 12;

  /** Minimum time between two requests, unless a batch has arrived. */
  private static final long REQUEST_INTERVAL_US = 200_000;

  private final ReplicationSettings settings;
  private final EntryStore store;
  private final ReachablePeers peers;
  private final ReplicationSender sender;
  private final SplittableRandom random;
  private long nextChecksumUs;
  private long lastRequestUs = Long.MIN_VALUE / 2;

  /** When this store was last found equal to another, or caught up; 0: never. */
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

  // ---------------------------------------------------------------- synchronization state

  /**
   * Returns true once this store was found equal to another since the start, or received everything
   * that it was missing.
   */
  boolean isCaughtUp() {
    return caughtUp;
  }

  /** Returns when this store was last found equal to another, or caught up; 0: never. */
  long lastSyncedUs() {
    return lastSyncedUs;
  }

  /** Restores when an earlier process of this courier was last in sync. */
  void restoreLastSynced(final long us) {
    lastSyncedUs = us;
  }

  /**
   * Returns true if this store was separated from all others for so long that it must adopt their
   * state instead of merging it with its own.
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
   * Sends the checksum with the next tick, as a newly reachable courier may lack any entry, and
   * have any that this one lacks.
   */
  void compareSoon() {
    nextChecksumUs = Long.MIN_VALUE;
  }

  /** Sends the checksum to a random courier if that is due; there must be a reachable one. */
  void tick(final long nowUs) {
    if (nowUs < nextChecksumUs) {
      return;
    }
    final long intervalUs =
        settings.checksumIntervalUs() * Math.max(1, peers.size() / MEMBERS_PER_CHECKSUM_INTERVAL);
    nextChecksumUs = nowUs + intervalUs / 2 + random.nextLong(intervalUs);
    sender.send(peers.pick(), new ReplicationMessage.Checksum(store.checksum(), store.size()));
  }

  /** Handles another courier's checksum: if it differs, requests the missing entries. */
  void onChecksum(final String from, final ReplicationMessage.Checksum theirs, final long nowUs) {
    if (theirs.value() == store.checksum()) {
      markSynced(nowUs);
      return;
    }
    final boolean isFarBehind = theirs.entryCount() > 2L * store.size() + WRITERS_PER_DIGEST;
    requestMissing(from, isFarBehind ? MAX_PARALLEL_REQUESTS : 1, nowUs);
  }

  // ---------------------------------------------------------------- requesting

  /** Requests the entries missing here from one courier, or a partition each from several. */
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
   * Handles a batch that was merged: if it was not the last, requests the rest from a random
   * courier, which spreads the load of serving.
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
   * Returns from which versions the request after a batch continues: the known versions and, for
   * writers in the batch, the last version that it carried. Without the latter, entries after a gap
   * that no courier can fill any more would be sent over and over.
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
   * Handles another courier's digest: sends it what it is missing, and requests what it has more.
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
