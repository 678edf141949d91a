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
import thistleturn.courier.port.StoredMessage;

/**
 * The exact bytes of the journal. The next version of the courier reads what this one has written,
 * so a change that alters any of these bytes must not pass unnoticed.
 */
final class JournalBytesTest {
  private static final BatchTimestamps TIMESTAMPS =
      new BatchTimestamps(1_000_000, 1_700_000_000_000_000L);
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

  private static StoredMessage keyed(final String id) {
    return new StoredMessage(
        id, "keyed", "key-\u00e9", 7, 5_000_000, new byte[] {1, 2, (byte) 0xFF});
  }

  private static String batchHex(final RecordBuffer records) {
    final ByteBuffer batch = records.toBatch(TIMESTAMPS);
    final byte[] bytes = new byte[batch.remaining()];
    batch.get(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /** Applies a batch, without its length and checksum, to messages. */
  private static void apply(final String hexLines, final Map<String, StoredMessage> messages) {
    final byte[] all = bytes(hexLines);
    final ByteBuffer content =
        ByteBuffer.wrap(all)
            .slice(JournalFile.BATCH_HEADER_BYTES, all.length - JournalFile.BATCH_HEADER_BYTES);
    assertEquals(TIMESTAMPS, BatchTimestamps.read(content));
    new RecordReader(messages, LongUnaryOperator.identity()).applyBatch(content);
  }

  private static Map<String, StoredMessage> messagesWith(final StoredMessage message) {
    final Map<String, StoredMessage> messages = new LinkedHashMap<>();
    messages.put(message.id(), message);
    return messages;
  }

  @Test
  void acceptedRecordWithKeyHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000100026d3100056b657965640100066b
        65792dc3a9000000000000000700000000004c4b40000000030102ff0000000200000000003d0900
        00067a6f6e652d62
        """;
    final StoredMessage message = keyed("m1");
    message.restoreAttempts(2, 4_000_000, "zone-b");
    final RecordBuffer records = new RecordBuffer();
    records.addAccepted(message);
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, StoredMessage> messages = new LinkedHashMap<>();
    apply(hexLines, messages);
    final StoredMessage read = messages.get("m1");
    assertEquals("keyed", read.className());
    assertEquals("key-\u00e9", read.idempotencyKey());
    assertEquals(7, read.destination());
    assertEquals(5_000_000, read.deadlineUs());
    assertArrayEquals(new byte[] {1, 2, (byte) 0xFF}, read.body());
    assertEquals(2, read.attempts());
    assertEquals(4_000_000, read.firstExecutionUs());
    assertEquals("zone-b", read.executionZone());
  }

  @Test
  void acceptedRecordWithoutKeyHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000100026d320004736166650000000000
        00000000000800000000004c4b4000000000000000007fffffffffffffff0000
        """;
    final RecordBuffer records = new RecordBuffer();
    records.addAccepted(new StoredMessage("m2", "safe", null, 8, 5_000_000, new byte[0]));
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, StoredMessage> messages = new LinkedHashMap<>();
    apply(hexLines, messages);
    assertNull(messages.get("m2").idempotencyKey());
    assertEquals(StoredMessage.NEVER, messages.get("m2").firstExecutionUs());
  }

  @Test
  void attemptStartedRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000200026d3100000000002dc6c000067a
        6f6e652d61
        """;
    final RecordBuffer records = new RecordBuffer();
    records.addAttemptStarted("m1", 3_000_000, "zone-a");
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, StoredMessage> messages = messagesWith(keyed("m1"));
    apply(hexLines, messages);
    assertTrue(messages.get("m1").hasAttemptInFlight());
    assertEquals(3_000_000, messages.get("m1").attemptStartedUs());
    assertEquals("zone-a", messages.get("m1").attemptZone());
  }

  @Test
  void attemptOutcomeRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000300026d3101
        """;
    final RecordBuffer records = new RecordBuffer();
    records.addAttemptOutcome("m1", true);
    assertEquals(joined(hexLines), batchHex(records));

    final StoredMessage message = keyed("m1");
    message.startAttempt(3_000_000, "zone-a");
    apply(hexLines, messagesWith(message));
    assertFalse(message.hasAttemptInFlight());
    assertEquals(StoredMessage.NEVER, message.firstExecutionUs());
  }

  @Test
  void finalOutcomeRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000400026d310000000000000002bc
        """;
    final RecordBuffer records = new RecordBuffer();
    records.addFinalOutcome("m1", new StoredMessage.FinalOutcome(false, 700));
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, StoredMessage> messages = messagesWith(keyed("m1"));
    apply(hexLines, messages);
    assertEquals(new StoredMessage.FinalOutcome(false, 700), messages.get("m1").finalOutcome());
  }

  @Test
  void completedRecordHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000500026d31
        """;
    final RecordBuffer records = new RecordBuffer();
    records.addCompleted("m1");
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, StoredMessage> messages = messagesWith(keyed("m1"));
    apply(hexLines, messages);
    assertEquals(Map.of(), messages);
  }

  /** A message with an attempt in flight and a final outcome to report is three records. */
  @Test
  void compactedMessageHasTheseBytes() {
    final String hexLines =
        """
        000000000000000000000000000f424000060a24181e40000100026d3100056b657965640100066b
        65792dc3a9000000000000000700000000004c4b4000000000000000007fffffffffffffff000002
        00026d3100000000002dc6c000067a6f6e652d610400026d31010000000000000000
        """;
    final StoredMessage message = keyed("m1");
    message.startAttempt(3_000_000, "zone-a");
    message.end(new StoredMessage.FinalOutcome(true, 0));
    final RecordBuffer records = new RecordBuffer();
    records.addSnapshot(message);
    assertEquals(joined(hexLines), batchHex(records));

    final Map<String, StoredMessage> messages = new LinkedHashMap<>();
    apply(hexLines, messages);
    assertEquals(1, messages.get("m1").attempts());
    assertTrue(messages.get("m1").hasAttemptInFlight());
    assertEquals(new StoredMessage.FinalOutcome(true, 0), messages.get("m1").finalOutcome());
  }

  /** Magic number and generation; then for each batch its length, checksum, clocks and records. */
  @Test
  void fileOfTwoBatchesHasTheseBytes() throws IOException {
    Files.write(folder.resolve("journal"), bytes(GENERATION_7_HEADER_HEX));
    final List<ByteBuffer> found = new ArrayList<>();
    final JournalFile file = JournalFile.open(folder, found::add);
    assertNotNull(file);
    final RecordBuffer records = new RecordBuffer();
    records.addAccepted(keyed("m1"));
    file.append(records.toBatch(TIMESTAMPS));
    records.clear();
    records.addAttemptStarted("m1", 3_000_000, "zone-a");
    file.append(records.toBatch(TIMESTAMPS));
    file.close();
    assertEquals(List.of(), found);
    assertEquals(
        joined(FILE_HEX), HexFormat.of().formatHex(Files.readAllBytes(folder.resolve("journal"))));
  }

  @Test
  void fileWithTheseBytesIsReadBack() throws IOException {
    Files.write(folder.resolve("journal"), bytes(FILE_HEX));
    try (Journal journal = Journal.open(folder, 100_000)) {
      final List<StoredMessage> recovered = List.copyOf(journal.pendingMessages());
      assertEquals(1, recovered.size());
      assertEquals("m1", recovered.get(0).id());
      assertEquals("key-\u00e9", recovered.get(0).idempotencyKey());
      assertTrue(recovered.get(0).hasAttemptInFlight());
    }
  }

  @Test
  void compactionBeginsItsFileWithTheMagicNumber() throws IOException {
    Journal.open(folder, 100_000).close();
    final byte[] file = Files.readAllBytes(folder.resolve("journal"));
    assertEquals("54544a4f55524e32", HexFormat.of().formatHex(file, 0, Long.BYTES));
  }
}
