package thistleturn.replicas;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
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

/**
 * Entries in the folder that lasts: a mark, a checksum of all behind it, and a text in CBOR. It is
 * put in place by a rename, so that it is whole or the one before; one that is torn, of another
 * kind or of a later version is not used, and a line in the log says so. Entries are put down with
 * their age. What was between two processes is told by the wall clock, if the system's other clock
 * agrees; else entries that hold for a while only are left out: nobody knows whether they still do.
 */
final class SnapshotFile {
  private static final int MAGIC = 0x54545231;
  private static final int HEADER_BYTES = Integer.BYTES + Long.BYTES;
  private static final int VERSION = 1;

  /** Bytes at most: the entries that a copy may hold. */
  private static final long MAX_BYTES = 64L << 20;

  /**
   * How far the two clocks may have gone apart, us: else one of them was set, or began anew with
   * the machine.
   */
  private static final long MAX_CLOCK_SKEW_US = 1_000_000;

  private final Path file;
  private final CBORFactory factory = new CBORFactory();

  SnapshotFile(final Path folder, final String name) {
    this.file = folder.resolve(name);
  }

  /**
   * What is put down.
   *
   * @param epoch the writer's latest
   * @param knownVersions up to where each writer's entries are known
   * @param entries as they were held at {@code nowUs}
   * @param lastInSyncUs when the copy was last found equal with another; 0: never
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
   * What was found.
   *
   * @param deltas entries on the present process's clock
   * @param lastInSyncUs on that clock, perhaps before the process's start; 0: never
   */
  record StoredSnapshot(long epoch, List<Delta> deltas, long lastInSyncUs) {}

  /** The file's bytes. */
  byte[] encode(final Snapshot taken) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(new byte[HEADER_BYTES]);
    try (CBORGenerator out = factory.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeNumber(VERSION);
      out.writeNumber(taken.epoch);
      out.writeNumber(taken.wallClockUs);
      out.writeNumber(taken.uptimeUs);
      out.writeNumber(taken.lastInSyncUs == 0 ? -1 : taken.nowUs - taken.lastInSyncUs);
      ReplicaCodec.writeKnownVersions(out, taken.knownVersions);
      final Map<WriterId, List<Entry>> byWriter = new TreeMap<>();
      taken.entries.forEach(
          entry ->
              byWriter.computeIfAbsent(entry.writer(), unused -> new ArrayList<>()).add(entry));
      out.writeStartArray();
      for (final Map.Entry<WriterId, List<Entry>> one : byWriter.entrySet()) {
        out.writeString(one.getKey().name());
        out.writeNumber(one.getKey().epoch());
        out.writeStartArray();
        for (final Entry entry : one.getValue()) {
          ReplicaCodec.writeEntry(out, entry, taken.nowUs);
        }
        out.writeEndArray();
      }
      out.writeEndArray();
      out.writeEndArray();
    }
    final byte[] all = bytes.toByteArray();
    ByteBuffer.wrap(all).putInt(MAGIC).putLong(checksum(all));
    return all;
  }

  private static long checksum(final byte[] all) {
    final CRC32C crc = new CRC32C();
    crc.update(all, HEADER_BYTES, all.length - HEADER_BYTES);
    return crc.getValue();
  }

  /** Puts a file in the place of the one before. */
  void replace(final byte[] bytes) throws IOException {
    final Path fresh = file.resolveSibling(file.getFileName() + ".new");
    Files.write(fresh, bytes);
    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** What an earlier process had put down; null if there is nothing that can be used. */
  StoredSnapshot read(final long nowUs, final long wallUs, final long upUs) {
    try {
      if (Files.size(file) > MAX_BYTES) {
        throw new IOException("more than " + MAX_BYTES + " bytes");
      }
      final byte[] all = Files.readAllBytes(file);
      final ByteBuffer head = ByteBuffer.wrap(all);
      if (all.length < HEADER_BYTES || head.getInt() != MAGIC || head.getLong() != checksum(all)) {
        throw new IOException("torn, or something else");
      }
      return parse(Arrays.copyOfRange(all, HEADER_BYTES, all.length), nowUs, wallUs, upUs);
    } catch (final NoSuchFileException e) {
      return null;
    } catch (final IOException | RuntimeException e) {
      Log.info("replicas: " + file + " is not used: " + e.getMessage());
      return null;
    }
  }

  private StoredSnapshot parse(
      final byte[] text, final long nowUs, final long wallUs, final long upUs) throws IOException {
    // Ages are taken as of now first, and moved by what passed since.
    try (ReplicaCodec.Reader in = new ReplicaCodec.Reader(factory.createParser(text), nowUs)) {
      in.begin();
      final long version = in.number();
      if (version != VERSION) {
        throw new IOException("of version " + version + ", not " + VERSION);
      }
      final long birth = in.number();
      final long passedUs = wallUs - in.number();
      final long upPassedUs = upUs - in.number();
      final long togetherAgoUs = in.number();
      final boolean sure = passedUs >= 0 && Math.abs(passedUs - upPassedUs) <= MAX_CLOCK_SKEW_US;
      final long movedUs = Math.max(0, passedUs);
      final Map<WriterId, Long> known = in.knownVersions();
      final Map<WriterId, List<Entry>> entries = in.entriesByWriter();
      final List<Delta> deltas = new ArrayList<>();
      entries.forEach(
          (writer, all) -> {
            final List<Entry> kept =
                all.stream()
                    .filter(entry -> sure || entry.ttlUs() == 0)
                    .map(
                        entry ->
                            new Entry(
                                entry.typeCode(),
                                entry.subject(),
                                entry.writer(),
                                entry.version(),
                                entry.ttlUs(),
                                entry.createdUs() - movedUs,
                                entry.fields()))
                    .toList();
            deltas.add(new Delta(writer, 0, known.getOrDefault(writer, 0L), kept));
          });
      known.forEach(
          (writer, upTo) -> {
            if (!entries.containsKey(writer)) {
              deltas.add(new Delta(writer, 0, upTo, List.of()));
            }
          });
      return new StoredSnapshot(
          birth, deltas, togetherAgoUs < 0 ? 0 : nowUs - togetherAgoUs - movedUs);
    }
  }
}
