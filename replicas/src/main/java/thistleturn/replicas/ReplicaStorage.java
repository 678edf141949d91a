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
 * Two files of a courier's copy. Words by hand are few and precious: they are put down before the
 * operator is answered. All else can be had from others again, and is put down now and then,
 * collected in slices on the loop and written by a thread of its own; what comes while that writes
 * takes the place of what waits.
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

  /** What is being collected; null: nothing is. */
  private List<Entry> collected;

  private long nextSaveUs;
  private long savedChecksum;

  ReplicaStorage(final Path folder, final Clock clock) {
    this.disabledEndpointsFile = new SnapshotFile(folder, DISABLED_ENDPOINTS_FILE);
    this.allEntriesFile = new SnapshotFile(folder, ALL_ENTRIES_FILE);
    this.clock = clock;
  }

  /**
   * How long the machine has been up, us: the clock that is not set, and begins anew with the
   * machine.
   */
  private static long uptimeUs() {
    return System.nanoTime() / NS_PER_US;
  }

  /** What was found in both files; its birth is a further one, and put down as used. */
  SnapshotFile.StoredSnapshot load() throws IOException {
    final long nowUs = clock.nowUs();
    final SnapshotFile.StoredSnapshot byHand =
        disabledEndpointsFile.read(nowUs, clock.wallClockUs(), uptimeUs());
    final SnapshotFile.StoredSnapshot rest =
        allEntriesFile.read(nowUs, clock.wallClockUs(), uptimeUs());
    final List<Delta> deltas = new ArrayList<>();
    long last = 0;
    long togetherUs = 0;
    // The words first: nothing in the other file, which may be older, can take their place.
    for (final SnapshotFile.StoredSnapshot found :
        new SnapshotFile.StoredSnapshot[] {byHand, rest}) {
      if (found != null) {
        deltas.addAll(found.deltas());
        last = Math.max(last, found.epoch());
        togetherUs = found.lastInSyncUs() == 0 ? togetherUs : found.lastInSyncUs();
      }
    }
    writerEpoch = Math.max(clock.wallClockUs(), last + 1);
    final List<Entry> held = new ArrayList<>();
    deltas.forEach(
        delta ->
            delta.entries().stream()
                .filter(entry -> entry.typeCode() == EntryType.MAINTENANCE.code())
                .forEach(held::add));
    disabledEndpointsFile.replace(
        disabledEndpointsFile.encode(
            new SnapshotFile.Snapshot(
                writerEpoch, Map.of(), held, togetherUs, nowUs, clock.wallClockUs(), uptimeUs())));
    return new SnapshotFile.StoredSnapshot(writerEpoch, deltas, togetherUs);
  }

  /** Puts the words by hand down now. */
  void saveDisabledEndpoints(final ReplicationProtocol replicas) throws IOException {
    final List<Entry> held = new ArrayList<>();
    replicas
        .subjects(EntryType.MAINTENANCE)
        .forEach(subject -> held.addAll(replicas.entries(EntryType.MAINTENANCE, subject)));
    disabledEndpointsFile.replace(
        disabledEndpointsFile.encode(
            new SnapshotFile.Snapshot(
                writerEpoch,
                Map.of(),
                held,
                replicas.lastSyncedUs(),
                clock.nowUs(),
                clock.wallClockUs(),
                uptimeUs())));
  }

  /** Goes on collecting, or begins to when it is time and something has changed. */
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

  private void scheduleSave(final SnapshotFile.Snapshot taken) {
    if (pendingSnapshot.getAndSet(taken) == null) {
      WRITER.execute(this::write);
    }
  }

  private void write() {
    try {
      allEntriesFile.replace(allEntriesFile.encode(pendingSnapshot.getAndSet(null)));
      failureLogged.set(false);
    } catch (final IOException e) {
      if (!failureLogged.getAndSet(true)) {
        Log.info("replicas: what is held is not put down: " + e);
      }
    }
  }
}
