package thistleturn.replicas;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import thistleturn.courier.runtime.BackgroundExecutor;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationProtocol;

/**
 * Stores a courier's entries in two files. Operators' decisions on endpoints are few and must not
 * be lost, so they are written before the operator's request is answered. All other entries can be
 * received from other couriers again. They are written from time to time: collected in slices on
 * the event loop, and written by a thread of its own. A snapshot that is completed while another
 * one waits to be written replaces it.
 */
final class ReplicaStorage {
  private static final String DISABLED_ENDPOINTS_FILE = "replicas.words";
  private static final String ALL_ENTRIES_FILE = "replicas.all";
  private static final int SLICE_SIZE = 4000;
  private static final long SAVE_PERIOD_US = 5_000_000;
  private static final long NS_PER_US = 1000;
  private static final BackgroundExecutor WRITER =
      new BackgroundExecutor("replicas", "write the replicas");

  private final SnapshotFile disabledEndpointsFile;
  private final SnapshotFile allEntriesFile;
  private final Clock clock;
  private final AtomicReference<SnapshotFile.Snapshot> pendingSnapshot = new AtomicReference<>();
  private final AtomicBoolean failureLogged = new AtomicBoolean();
  private long writerEpoch;

  /** The entries collected for the next snapshot; null if none is being collected. */
  private List<Entry> collected;

  private long nextSaveUs;
  private long savedChecksum;

  ReplicaStorage(final Path folder, final Clock clock) {
    this.disabledEndpointsFile = new SnapshotFile(folder, DISABLED_ENDPOINTS_FILE);
    this.allEntriesFile = new SnapshotFile(folder, ALL_ENTRIES_FILE);
    this.clock = clock;
  }

  /**
   * Returns the machine's uptime, us: a clock that is never set, and that starts again with the
   * machine.
   */
  private static long uptimeUs() {
    return System.nanoTime() / NS_PER_US;
  }

  /**
   * Returns the contents of both files with a new epoch for the writer. The epoch is stored before
   * it is used, so that no later process uses it again.
   */
  SnapshotFile.StoredSnapshot load() throws IOException {
    final long nowUs = clock.nowUs();
    final SnapshotFile.StoredSnapshot disabledEndpoints =
        disabledEndpointsFile.read(nowUs, clock.wallClockUs(), uptimeUs());
    final SnapshotFile.StoredSnapshot allEntries =
        allEntriesFile.read(nowUs, clock.wallClockUs(), uptimeUs());
    final List<Delta> deltas = new ArrayList<>();
    long lastEpoch = 0;
    long lastInSyncUs = 0;
    // Operators' decisions first: nothing in the other file, which may be older, can replace them.
    for (final SnapshotFile.StoredSnapshot found :
        new SnapshotFile.StoredSnapshot[] {disabledEndpoints, allEntries}) {
      if (found != null) {
        deltas.addAll(found.deltas());
        lastEpoch = Math.max(lastEpoch, found.epoch());
        lastInSyncUs = found.lastInSyncUs() == 0 ? lastInSyncUs : found.lastInSyncUs();
      }
    }
    writerEpoch = Math.max(clock.wallClockUs(), lastEpoch + 1);
    final List<Entry> decisions = new ArrayList<>();
    deltas.forEach(
        delta ->
            delta.entries().stream()
                .filter(entry -> entry.typeCode() == EntryType.MAINTENANCE.code())
                .forEach(decisions::add));
    disabledEndpointsFile.replace(
        disabledEndpointsFile.encode(
            new SnapshotFile.Snapshot(
                writerEpoch,
                Map.of(),
                decisions,
                lastInSyncUs,
                nowUs,
                clock.wallClockUs(),
                uptimeUs())));
    return new SnapshotFile.StoredSnapshot(writerEpoch, deltas, lastInSyncUs);
  }

  /** Writes the operators' decisions on endpoints now. */
  void saveDisabledEndpoints(final ReplicationProtocol replicas) throws IOException {
    final List<Entry> decisions = new ArrayList<>();
    replicas
        .subjects(EntryType.MAINTENANCE)
        .forEach(subject -> decisions.addAll(replicas.entries(EntryType.MAINTENANCE, subject)));
    disabledEndpointsFile.replace(
        disabledEndpointsFile.encode(
            new SnapshotFile.Snapshot(
                writerEpoch,
                Map.of(),
                decisions,
                replicas.lastSyncedUs(),
                clock.nowUs(),
                clock.wallClockUs(),
                uptimeUs())));
  }

  /** Continues collecting a snapshot, or starts one if that is due and an entry has changed. */
  void tick(final ReplicationProtocol replicas) {
    final long nowUs = clock.nowUs();
    if (collected == null) {
      if (nowUs < nextSaveUs || replicas.checksum() == savedChecksum) {
        return;
      }
      nextSaveUs = nowUs + SAVE_PERIOD_US;
      savedChecksum = replicas.checksum();
      collected = new ArrayList<>();
    }
    final List<Entry> slice =
        replicas.entriesAfter(
            collected.isEmpty() ? null : collected.get(collected.size() - 1), SLICE_SIZE);
    collected.addAll(slice);
    if (slice.size() < SLICE_SIZE) {
      scheduleSave(
          new SnapshotFile.Snapshot(
              writerEpoch,
              replicas.knownVersions(),
              collected,
              replicas.lastSyncedUs(),
              nowUs,
              clock.wallClockUs(),
              uptimeUs()));
      collected = null;
    }
  }

  private void scheduleSave(final SnapshotFile.Snapshot snapshot) {
    if (pendingSnapshot.getAndSet(snapshot) == null) {
      WRITER.execute(this::write);
    }
  }

  private void write() {
    try {
      allEntriesFile.replace(allEntriesFile.encode(pendingSnapshot.getAndSet(null)));
      failureLogged.set(false);
    } catch (final IOException e) {
      if (!failureLogged.getAndSet(true)) {
        Log.info("replicas: the entries cannot be stored: " + e);
      }
    }
  }
}
