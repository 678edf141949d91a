package thistleturn.replicas;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
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
final class Folder {
  private static final String WORDS = "replicas.words";
  private static final String ALL = "replicas.all";
  private static final int SLICE = 4000;
  private static final long GAP_US = 5_000_000;
  private static final long NS_PER_US = 1000;
  private static final ExecutorService WRITER =
      Executors.newSingleThreadExecutor(
          task -> {
            final Thread thread = new Thread(task, "replicas");
            thread.setDaemon(true);
            return thread;
          });

  private final SnapshotFile words;
  private final SnapshotFile all;
  private final Clock clock;
  private final AtomicReference<SnapshotFile.Taken> waiting = new AtomicReference<>();
  private final AtomicBoolean told = new AtomicBoolean();
  private long birth;

  /** What is being collected; null: nothing is. */
  private List<Entry> collected;

  private long dueUs;
  private long writtenSum;

  Folder(final Path folder, final Clock clock) {
    this.words = new SnapshotFile(folder, WORDS);
    this.all = new SnapshotFile(folder, ALL);
    this.clock = clock;
  }

  /**
   * How long the machine has been up, us: the clock that is not set, and begins anew with the
   * machine.
   */
  private static long upUs() {
    return System.nanoTime() / NS_PER_US;
  }

  /** What was found in both files; its birth is a further one, and put down as used. */
  SnapshotFile.Found begin() throws IOException {
    final long nowUs = clock.nowUs();
    final SnapshotFile.Found byHand = words.read(nowUs, clock.wallUs(), upUs());
    final SnapshotFile.Found rest = all.read(nowUs, clock.wallUs(), upUs());
    final List<Delta> deltas = new ArrayList<>();
    long last = 0;
    long togetherUs = 0;
    // The words first: nothing in the other file, which may be older, can take their place.
    for (final SnapshotFile.Found found : new SnapshotFile.Found[] {byHand, rest}) {
      if (found != null) {
        deltas.addAll(found.deltas());
        last = Math.max(last, found.birth());
        togetherUs = found.togetherUs() == 0 ? togetherUs : found.togetherUs();
      }
    }
    birth = Math.max(clock.wallUs(), last + 1);
    final List<Entry> held = new ArrayList<>();
    deltas.forEach(
        delta ->
            delta.entries().stream()
                .filter(entry -> entry.typeCode() == EntryType.MAINTENANCE.code())
                .forEach(held::add));
    words.write(
        words.bytes(
            new SnapshotFile.Taken(
                birth, Map.of(), held, togetherUs, nowUs, clock.wallUs(), upUs())));
    return new SnapshotFile.Found(birth, deltas, togetherUs);
  }

  /** Puts the words by hand down now. */
  void keepWords(final ReplicationProtocol replicas) throws IOException {
    final List<Entry> held = new ArrayList<>();
    replicas
        .subjects(EntryType.MAINTENANCE)
        .forEach(subject -> held.addAll(replicas.entries(EntryType.MAINTENANCE, subject)));
    words.write(
        words.bytes(
            new SnapshotFile.Taken(
                birth,
                Map.of(),
                held,
                replicas.lastSyncedUs(),
                clock.nowUs(),
                clock.wallUs(),
                upUs())));
  }

  /** Goes on collecting, or begins to when it is time and something has changed. */
  void tick(final ReplicationProtocol replicas) {
    final long nowUs = clock.nowUs();
    if (collected == null) {
      if (nowUs < dueUs || replicas.checksum() == writtenSum) {
        return;
      }
      dueUs = nowUs + GAP_US;
      writtenSum = replicas.checksum();
      collected = new ArrayList<>();
    }
    final List<Entry> slice =
        replicas.entriesAfter(
            collected.isEmpty() ? null : collected.get(collected.size() - 1), SLICE);
    collected.addAll(slice);
    if (slice.size() < SLICE) {
      keep(
          new SnapshotFile.Taken(
              birth,
              replicas.knownVersions(),
              collected,
              replicas.lastSyncedUs(),
              nowUs,
              clock.wallUs(),
              upUs()));
      collected = null;
    }
  }

  private void keep(final SnapshotFile.Taken taken) {
    if (waiting.getAndSet(taken) == null) {
      WRITER.execute(this::write);
    }
  }

  private void write() {
    try {
      all.write(all.bytes(waiting.getAndSet(null)));
      told.set(false);
    } catch (final IOException e) {
      if (!told.getAndSet(true)) {
        Log.info("replicas: what is held is not put down: " + e);
      }
    }
  }
}
