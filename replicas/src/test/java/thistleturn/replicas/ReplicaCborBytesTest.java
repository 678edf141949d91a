package thistleturn.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.WriterId;

/**
 * Pins the exact bytes of messages between replicas and of the files that they store. Couriers of
 * different versions exchange them during an upgrade, so any change to these bytes must be noticed.
 */
@Tag("replicas")
final class ReplicaCborBytesTest {
  private static final long NOW_US = 5_000_000;
  private static final WriterId ALPHA = new WriterId("alpha", 1_700_000_000_000_001L);
  private static final WriterId BETA = new WriterId("beta", 2);
  private static final List<Delta> DELTAS =
      List.of(
          new Delta(
              ALPHA,
              3,
              9,
              List.of(
                  entry(EntryType.MAINTENANCE, 0, true, "operator at alpha", "beta", 2L, 8L),
                  entry(EntryType.LIMIT, 60_000_000, 4.25))),
          new Delta(BETA, 0, 1, List.of()));
  private static final String SNAPSHOT_HEX =
      """
      5454523100000000a9b2e2829f011b00060a24181e40021b00060a241e1421001a35a4e9001a001e
      84809f65616c7068611b00060a24181e40010964626574610201ff9f65616c7068611b00060a2418
      1e40019f9f01613708001a0003d090f5716f70657261746f7220617420616c706861646265746102
      08ff9f046137081a039387001a0003d090fb4011000000000000ffffffff
      """;

  private final ReplicaCodec codec = new ReplicaCodec();

  private static Entry entry(final EntryType type, final long ttlUs, final Object... fields) {
    return new Entry(type.code(), "7", ALPHA, 8, ttlUs, NOW_US - 250_000, List.of(fields));
  }

  private static String joined(final String hexLines) {
    return hexLines.replaceAll("\\s", "");
  }

  private static byte[] bytes(final String hexLines) {
    return HexFormat.of().parseHex(joined(hexLines));
  }

  private void assertMessageBytes(final String hexLines, final ReplicationMessage message)
      throws IOException {
    assertEquals(joined(hexLines), HexFormat.of().formatHex(codec.write(message, NOW_US)));
    assertEquals(message, codec.read(bytes(hexLines), NOW_US));
  }

  @Test
  void entryBroadcast_hasTheseBytes() throws IOException {
    assertMessageBytes(
        """
        9f01019f9f65616c7068611b00060a24181e400103099f9f01613708001a0003d090f5716f706572
        61746f7220617420616c70686164626574610208ff9f046137081a039387001a0003d090fb401100
        0000000000ffffff9f64626574610200019fffffffff
        """,
        new ReplicationMessage.EntryBroadcast(DELTAS));
  }

  @Test
  void checksumMessage_hasTheseBytes() throws IOException {
    assertMessageBytes(
        """
        9f0102384c0cff
        """,
        new ReplicationMessage.Checksum(-77, 12));
  }

  @Test
  void digest_hasTheseBytes() throws IOException {
    final Map<WriterId, Long> known = new LinkedHashMap<>();
    known.put(ALPHA, 4L);
    known.put(BETA, 300L);
    assertMessageBytes(
        """
        9f01030205f59f65616c7068611b00060a24181e40010464626574610219012cffff
        """,
        new ReplicationMessage.Digest(2, 5, known, true));
  }

  @Test
  void deltaBatch_hasTheseBytes() throws IOException {
    assertMessageBytes(
        """
        9f01040103f49f9f65616c7068611b00060a24181e400103099f9f01613708001a0003d090f5716f
        70657261746f7220617420616c70686164626574610208ff9f046137081a039387001a0003d090fb
        4011000000000000ffffff9f64626574610200019fffffffff
        """,
        new ReplicationMessage.DeltaBatch(1, 3, DELTAS, false));
  }

  /** Entry types are numbers on the wire; operators' JSON contains their names in lower case. */
  @Test
  void entryTypes_haveTheseCodesAndNames() {
    assertEquals(
        "[MAINTENANCE=1, WAIT=2, OUTAGE=3, LIMIT=4, LEARNT=5, LIST=6]",
        Arrays.stream(EntryType.values())
            .map(type -> type + "=" + type.code())
            .toList()
            .toString());
  }

  /** The log and operators' JSON contain writer ids in this form. */
  @Test
  void writerId_isWrittenAsNameAndEpoch() {
    assertEquals("alpha#1700000000000001", ALPHA.toString());
  }

  private static SnapshotFile.Snapshot snapshot() {
    final Map<WriterId, Long> known = new LinkedHashMap<>();
    known.put(ALPHA, 9L);
    known.put(BETA, 1L);
    return new SnapshotFile.Snapshot(
        1_700_000_000_000_002L,
        known,
        DELTAS.get(0).entries(),
        NOW_US - 2_000_000,
        NOW_US,
        1_700_000_100_000_000L,
        900_000_000);
  }

  /** A magic number, a checksum and CBOR. */
  @Test
  void snapshotFile_hasTheseBytes(@TempDir final Path folder) throws IOException {
    final byte[] written = new SnapshotFile(folder, "replicas.all").encode(snapshot());
    assertEquals(joined(SNAPSHOT_HEX), HexFormat.of().formatHex(written));
  }

  @Test
  void snapshotFileWithTheseBytes_isReadBack(@TempDir final Path folder) throws IOException {
    Files.write(folder.resolve("replicas.all"), bytes(SNAPSHOT_HEX));
    final SnapshotFile.StoredSnapshot found =
        new SnapshotFile(folder, "replicas.all").read(NOW_US, 1_700_000_100_000_000L, 900_000_000);
    assertEquals(1_700_000_000_000_002L, found.epoch());
    assertEquals(NOW_US - 2_000_000, found.lastInSyncUs());
    assertEquals(
        List.of(new Delta(ALPHA, 0, 9, DELTAS.get(0).entries()), new Delta(BETA, 0, 1, List.of())),
        found.deltas());
  }
}
