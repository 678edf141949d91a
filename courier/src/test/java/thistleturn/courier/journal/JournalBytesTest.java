package thistleturn.courier.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.port.Held;

/**
 * The exact bytes of the journal. The next version of the courier reads what this one has written,
 * so a change that alters any of these bytes must not pass unnoticed.
 */
final class JournalBytesTest {
  private static final Records.Stamp STAMP = new Records.Stamp(1_000_000, 1_700_000_000_000_000L);
  private static final String GENERATION_7_HEADER_HEX = "54544a4f55524e32" + "0000000000000007";
  private static final String FILE_HEX =
      """
      54544a4f55524e3200000000000000070000004a9584ae6200000000000f424000060a24181e4000
      0100026d3100056b657965640100066b65792dc3a9000000000000000700000000004c4b40000000
      030102ff000000007fffffffffffffff00000000002599e47e2600000000000f424000060a24181e
      40000200026d3100000000002dc6c000067a6f6e652d61
      """;

  @TempDir private Path folder;

  private static String joined(final String hexLines) {
    return hexLines.replaceAll("\\s", "");
  }

  private static byte[] bytes(final String hexLines) {
    return HexFormat.of().parseHex(joined(hexLines));
  }

  private static Held keyed(final String id) {
    return new Held(id, "keyed", "key-\u00e9", 7, 5_000_000, new byte[] {1, 2, (byte) 0xFF});
  }

  private static String batchHex(final Records records) {
    final ByteBuffer batch = records.batch(STAMP);
    final byte[] bytes = new byte[batch.remaining()];
    batch.get(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /** Applies a batch, without its length and checksum, to messages. */
  private static void apply(final String hexLines, final Map<String, Held> messages) {
    final byte[] all = bytes(hexLines);
    final ByteBuffer content =
        ByteBuffer.wrap(all)
            .slice(JournalFile.BATCH_HEAD_BYTES, all.length - JournalFile.BATCH_HEAD_BYTES);
    assertEquals(STAMP, Records.stamp(content));
    Records.apply(content, messages, LongUnaryOperator.identity());
  }

  private static Map<String, Held> messagesWith(final Held held) {
    final Map<String, Held> messages = new LinkedHashMap<>();
    messages.put(held.id(), held);
    return messages;
  }

  @Test
  void takenRecordOfMessageWithKeyHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000100026d3100056b657965640100066b
        65792dc3a9000000000000000700000000004c4b40000000030102ff0000000200000000003d0900
        00067a6f6e652d62
        """;
    final Held held = keyed("m1");
    held.restore(2, 4_000_000, "zone-b");
    final Records records = new Records();
    records.taken(held);
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, Held> messages = new LinkedHashMap<>();
    apply(hexLines, messages);
    final Held read = messages.get("m1");
    assertEquals("keyed", read.className());
    assertEquals("key-\u00e9", read.idempotencyKey());
    assertEquals(7, read.destination());
    assertEquals(5_000_000, read.validUntilUs());
    assertArrayEquals(new byte[] {1, 2, (byte) 0xFF}, read.body());
    assertEquals(2, read.attempts());
    assertEquals(4_000_000, read.firstRunUs());
    assertEquals("zone-b", read.runZone());
  }

  @Test
  void takenRecordOfMessageWithoutKeyHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000100026d320004736166650000000000
        00000000000800000000004c4b4000000000000000007fffffffffffffff0000
        """;
    final Records records = new Records();
    records.taken(new Held("m2", "safe", null, 8, 5_000_000, new byte[0]));
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, Held> messages = new LinkedHashMap<>();
    apply(hexLines, messages);
    assertNull(messages.get("m2").idempotencyKey());
    assertEquals(Held.NEVER, messages.get("m2").firstRunUs());
  }

  @Test
  void begunRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000200026d3100000000002dc6c000067a
        6f6e652d61
        """;
    final Records records = new Records();
    records.begun("m1", 3_000_000, "zone-a");
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, Held> messages = messagesWith(keyed("m1"));
    apply(hexLines, messages);
    assertTrue(messages.get("m1").isOut());
    assertEquals(3_000_000, messages.get("m1").outUs());
    assertEquals("zone-a", messages.get("m1").outZone());
  }

  @Test
  void settledRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000300026d3101
        """;
    final Records records = new Records();
    records.settled("m1", true);
    assertEquals(joined(hexLines), batchHex(records));

    final Held held = keyed("m1");
    held.begin(3_000_000, "zone-a");
    apply(hexLines, messagesWith(held));
    assertFalse(held.isOut());
    assertEquals(Held.NEVER, held.firstRunUs());
  }

  @Test
  void owedRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000400026d310000000000000002bc
        """;
    final Records records = new Records();
    records.owed("m1", new Held.Notice(false, 700));
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, Held> messages = messagesWith(keyed("m1"));
    apply(hexLines, messages);
    assertEquals(new Held.Notice(false, 700), messages.get("m1").notice());
  }

  @Test
  void overRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000500026d31
        """;
    final Records records = new Records();
    records.over("m1");
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, Held> messages = messagesWith(keyed("m1"));
    apply(hexLines, messages);
    assertEquals(Map.of(), messages);
  }

  /** A message with an attempt in flight and a notice to deliver is three records. */
  @Test
  void compactedMessageHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000100026d3100056b657965640100066b
        65792dc3a9000000000000000700000000004c4b4000000000000000007fffffffffffffff000002
        00026d3100000000002dc6c000067a6f6e652d610400026d31010000000000000000
        """;
    final Held held = keyed("m1");
    held.begin(3_000_000, "zone-a");
    held.owe(new Held.Notice(true, 0));
    final Records records = new Records();
    records.whole(held);
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, Held> messages = new LinkedHashMap<>();
    apply(hexLines, messages);
    assertEquals(1, messages.get("m1").attempts());
    assertTrue(messages.get("m1").isOut());
    assertEquals(new Held.Notice(true, 0), messages.get("m1").notice());
  }

  /** Magic number and generation; then for each batch its length, checksum, clocks and records. */
  @Test
  void fileOfTwoBatchesHasTheseBytes() throws IOException {
    Files.write(folder.resolve("journal"), bytes(GENERATION_7_HEADER_HEX));
    final List<ByteBuffer> found = new ArrayList<>();
    final JournalFile file = JournalFile.open(folder, found::add);
    assertNotNull(file);
    final Records records = new Records();
    records.taken(keyed("m1"));
    file.append(records.batch(STAMP));
    records.clear();
    records.begun("m1", 3_000_000, "zone-a");
    file.append(records.batch(STAMP));
    file.close();
    assertEquals(List.of(), found);
    assertEquals(
        joined(FILE_HEX), HexFormat.of().formatHex(Files.readAllBytes(folder.resolve("journal"))));
  }

  @Test
  void fileWithTheseBytesIsReadBack() throws IOException {
    Files.write(folder.resolve("journal"), bytes(FILE_HEX));
    try (Journal journal = Journal.open(folder, 100_000)) {
      final List<Held> live = List.copyOf(journal.live());
      assertEquals(1, live.size());
      assertEquals("m1", live.get(0).id());
      assertEquals("key-\u00e9", live.get(0).idempotencyKey());
      assertTrue(live.get(0).isOut());
    }
  }

  @Test
  void compactionBeginsItsFileWithTheMagicNumber() throws IOException {
    Journal.open(folder, 100_000).close();
    final byte[] file = Files.readAllBytes(folder.resolve("journal"));
    assertEquals("54544a4f55524e32", HexFormat.of().formatHex(file, 0, Long.BYTES));
  }
}
