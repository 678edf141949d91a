package thistleturn.replicas;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.WriterId;
import thistleturn.peers.cbor.Cbor;

/**
 * A file of entries in the state folder: a magic number, a checksum of all bytes after the header,
 * and CBOR.
 *
 * <p>The file is replaced by a rename, so a reader finds either the new file or the previous one. A
 * file that is truncated, corrupted, of another format or of another version is ignored, which is
 * logged.
 *
 * <p>Entries are stored with their age. The time between two processes is read from the wall clock,
 * provided that the machine's uptime agrees. If it does not, entries with a time to live are
 * dropped: it is unknown whether they are still valid.
 */
final class SnapshotFile {
  private static final int MAGIC = 0x54545231;
  private static final int HEADER_BYTES = Integer.BYTES + Long.BYTES;
  private static final int VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 1024;

  /** Enough for the maximum number of entries of a replica. */
  private static final long MAX_BYTES = 64L << 20;

  /**
   * Maximum difference between the two clocks, us. If it is larger, the wall clock was set or the
   * machine was rebooted.
   */
  private static final long MAX_CLOCK_SKEW_US = 1_000_000;

  /** Written in place of the time since the replica was last in sync if it never was. */
  private static final long NEVER_IN_SYNC = -1;

  private final Path file;

  SnapshotFile(final Path folder, final String name) {
    this.file = folder.resolve(name);
  }

  /**
   * The contents to be stored.
   *
   * @param epoch the latest epoch of this courier's writer id
   * @param knownVersions for each writer the version up to which no entry is missing
   * @param entries the entries at {@code nowUs}
   * @param lastInSyncUs when the replica was last found equal with another one; 0: never
   * @param nowUs the time of the snapshot on the process's clock
   * @param wallClockUs the same time on the wall clock
   * @param uptimeUs the same time as the machine's uptime
   */
  record Snapshot(
      long epoch,
      Map<WriterId, Long> knownVersions,
      List<Entry> entries,
      long lastInSyncUs,
      long nowUs,
      long wallClockUs,
      long uptimeUs) {}

  /**
   * The contents that were read.
   *
   * @param epoch the latest epoch of this courier's writer id
   * @param deltas entries with times on the present process's clock
   * @param lastInSyncUs when the replica was last found equal with another one, on that clock and
   *     perhaps before the process's start; 0: never
   */
  record StoredSnapshot(long epoch, List<Delta> deltas, long lastInSyncUs) {}

  /** Returns the bytes of a file with this snapshot. */
  byte[] encode(final Snapshot snapshot) {
    final byte[] body = Cbor.encode(INITIAL_BUFFER_BYTES, out -> writeBody(out, snapshot));
    return ByteBuffer.allocate(HEADER_BYTES + body.length)
        .putInt(MAGIC)
        .putLong(checksum(body))
        .put(body)
        .array();
  }

  private static void writeBody(final CBORGenerator out, final Snapshot snapshot)
      throws IOException {
    out.writeStartArray();
    out.writeNumber(VERSION);
    out.writeNumber(snapshot.epoch);
    out.writeNumber(snapshot.wallClockUs);
    out.writeNumber(snapshot.uptimeUs);
    out.writeNumber(
        snapshot.lastInSyncUs == 0 ? NEVER_IN_SYNC : snapshot.nowUs - snapshot.lastInSyncUs);
    EntryWriter.writeKnownVersions(out, snapshot.knownVersions);
    EntryWriter.writeEntriesByWriter(out, byWriter(snapshot.entries), snapshot.nowUs);
    out.writeEndArray();
  }

  private static Map<WriterId, List<Entry>> byWriter(final List<Entry> entries) {
    final Map<WriterId, List<Entry>> byWriter = new TreeMap<>();
    entries.forEach(
        entry -> byWriter.computeIfAbsent(entry.writer(), unused -> new ArrayList<>()).add(entry));
    return byWriter;
  }

  private static long checksum(final byte[] body) {
    final CRC32C crc = new CRC32C();
    crc.update(body, 0, body.length);
    return crc.getValue();
  }

  /** Replaces the file atomically. */
  void replace(final byte[] bytes) throws IOException {
    final Path replacement = file.resolveSibling(file.getFileName() + ".new");
    Files.write(replacement, bytes);
    Files.move(
        replacement, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /**
   * Reads what an earlier process stored.
   *
   * @return the snapshot, or null if there is no file or it cannot be used; the latter is logged
   */
  StoredSnapshot read(final long nowUs, final long wallClockUs, final long uptimeUs) {
    try {
      if (Files.size(file) > MAX_BYTES) {
        throw new IOException("more than " + MAX_BYTES + " bytes");
      }
      return parse(checkedBody(Files.readAllBytes(file)), nowUs, wallClockUs, uptimeUs);
    } catch (final NoSuchFileException e) {
      return null;
    } catch (final IOException | RuntimeException e) {
      Log.info("replicas: " + file + " is not used: " + e.getMessage());
      return null;
    }
  }

  /** Returns the bytes after the header, whose checksum must match. */
  private static byte[] checkedBody(final byte[] bytes) throws IOException {
    if (bytes.length >= HEADER_BYTES) {
      final ByteBuffer header = ByteBuffer.wrap(bytes);
      final byte[] body = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
      if (header.getInt() == MAGIC && header.getLong() == checksum(body)) {
        return body;
      }
    }
    throw new IOException("truncated, corrupted or of another format");
  }

  private static StoredSnapshot parse(
      final byte[] body, final long nowUs, final long wallClockUs, final long uptimeUs)
      throws IOException {
    // Ages are first read as if no time had passed since the file was written, then corrected.
    try (EntryReader in = new EntryReader(body, nowUs)) {
      in.beginArray();
      final long version = in.number();
      if (version != VERSION) {
        throw new IOException("version " + version + ", expected " + VERSION);
      }
      final long epoch = in.number();
      final long passedUs = wallClockUs - in.number();
      final long uptimePassedUs = uptimeUs - in.number();
      final long lastInSyncAgoUs = in.number();
      final boolean clocksAgree =
          passedUs >= 0 && Math.abs(passedUs - uptimePassedUs) <= MAX_CLOCK_SKEW_US;
      final long shiftUs = Math.max(0, passedUs);
      final List<Delta> deltas =
          deltas(in.knownVersions(), in.entriesByWriter(), clocksAgree, shiftUs);
      final long lastInSyncUs = lastInSyncAgoUs < 0 ? 0 : nowUs - lastInSyncAgoUs - shiftUs;
      return new StoredSnapshot(epoch, deltas, lastInSyncUs);
    }
  }

  /**
   * Returns a delta for each writer, with the creation times of its entries shifted into the past
   * by the time that has passed. Unless the clocks agree, only entries without a time to live are
   * kept.
   */
  private static List<Delta> deltas(
      final Map<WriterId, Long> knownVersions,
      final Map<WriterId, List<Entry>> entriesByWriter,
      final boolean clocksAgree,
      final long shiftUs) {
    final List<Delta> deltas = new ArrayList<>();
    entriesByWriter.forEach(
        (writer, entries) -> {
          final List<Entry> kept =
              entries.stream()
                  .filter(entry -> clocksAgree || entry.ttlUs() == 0)
                  .map(entry -> createdEarlier(entry, shiftUs))
                  .toList();
          deltas.add(new Delta(writer, 0, knownVersions.getOrDefault(writer, 0L), kept));
        });
    knownVersions.forEach(
        (writer, upToVersion) -> {
          if (!entriesByWriter.containsKey(writer)) {
            deltas.add(new Delta(writer, 0, upToVersion, List.of()));
          }
        });
    return deltas;
  }

  private static Entry createdEarlier(final Entry entry, final long shiftUs) {
    return new Entry(
        entry.typeCode(),
        entry.subject(),
        entry.writer(),
        entry.version(),
        entry.ttlUs(),
        entry.createdUs() - shiftUs,
        entry.fields());
  }
}
