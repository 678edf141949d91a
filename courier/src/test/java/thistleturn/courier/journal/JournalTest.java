package thistleturn.courier.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.model.PriorAttempts;

/**
 * What the journal restores after a restart, a kill in the middle of a write, or a failed write.
 */
final class JournalTest {
  private static final long DISK_BYTES = 100_000;

  @TempDir private Path folder;

  private static StoredMessage message(final String id, final int bytes) {
    return new StoredMessage(id, "keyed", "key-" + id, 7, 5_000_000, new byte[bytes]);
  }

  private List<String> reopenedIds() throws IOException {
    return reopen().stream().map(StoredMessage::id).toList();
  }

  private List<StoredMessage> reopen() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      return List.copyOf(journal.pendingMessages());
    }
  }

  @Test
  void failedCompactionOnCloseLeavesJournalComplete() throws IOException {
    final Journal journal = Journal.open(folder, DISK_BYTES);
    assertTrue(journal.recordAccepted(message("m1", 100)));
    // The compacted file cannot be created where a folder has its name.
    Files.createDirectory(folder.resolve("journal.next"));
    journal.compactAndClose();
    assertEquals(List.of("m1"), reopenedIds());
  }

  /** A message that has only its outcome to report frees its space, but its id is not free yet. */
  @Test
  void finalOutcomeReservesNoSpaceForTheBody() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      for (int count = 0; count < 30; count++) {
        final StoredMessage message = message("m" + count, 10_000);
        assertTrue(journal.recordAccepted(message), "message " + count);
        journal.recordFinalOutcome(message, new StoredMessage.FinalOutcome(true, 0));
        assertFalse(journal.recordAccepted(message("m" + count, 10)), "its id is still in use");
      }
    }
    assertEquals(30, reopen().size());
    assertTrue(
        reopen().stream()
            .allMatch(message -> message.finalOutcome().failed() && message.body().length == 0));
  }

  /** The disk is full for a moment: the next flush that succeeds writes all records. */
  @Test
  void unwrittenRecordsAreWrittenByTheNextSuccessfulFlush() throws IOException {
    final Path blocked = folder.resolve("journal.next");
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      final StoredMessage first = message("first", 10_000);
      final StoredMessage second = message("second", 10_000);
      assertTrue(journal.recordAccepted(first) && journal.recordAccepted(second));
      // The next compaction cannot create its file.
      Files.createDirectory(blocked);
      Files.createFile(blocked.resolve("in-the-way"));
      int attempts = 0;
      while (journal.flush() == MessageStore.FlushResult.DURABLE) {
        journal.recordAttemptStarted(second, 1000, "zone".repeat(500));
        journal.recordAttemptOutcome(second, true);
        attempts++;
      }
      assertTrue(attempts > 1);
      assertFalse(journal.isWritable());
      assertFalse(
          journal.recordAccepted(message("third", 10)),
          "nothing is accepted that cannot be recorded");
      journal.recordCompleted(first);
      Files.delete(blocked.resolve("in-the-way"));
      Files.delete(blocked);
      journal.recordAttemptStarted(second, 2000, "b");
      assertEquals(MessageStore.FlushResult.DURABLE, journal.flush());
      assertTrue(journal.isWritable());
    }
    assertEquals(List.of("second"), reopenedIds());
  }

  @Test
  void reopenRestoresPendingAndDropsCompletedMessages() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      final StoredMessage sent =
          new StoredMessage("sent", "keyed", "k", 7, 5_000_000, new byte[] {1, 2, 3});
      final StoredMessage completed = message("over", 3);
      final StoredMessage ended = message("ended", 3);
      Stream.of(sent, completed, ended)
          .forEach(message -> assertTrue(journal.recordAccepted(message)));
      journal.recordAttemptStarted(sent, 1000, "a");
      journal.recordAttemptOutcome(sent, true);
      journal.recordAttemptStarted(sent, 2000, "b");
      journal.recordCompleted(completed);
      journal.recordFinalOutcome(ended, new StoredMessage.FinalOutcome(false, 700));
    }
    final List<StoredMessage> recovered = reopen();
    assertEquals(List.of("sent", "ended"), recovered.stream().map(StoredMessage::id).toList());
    final StoredMessage sent = recovered.get(0);
    assertArrayEquals(new byte[] {1, 2, 3}, sent.body());
    assertEquals("k", sent.idempotencyKey());
    final PriorAttempts prior = sent.priorAttempts();
    assertEquals(2, prior.attempts());
    assertTrue(prior.mayHaveExecuted(), "the attempt in flight may have been executed");
    assertEquals("b", prior.executionZone());
    assertEquals(2000, prior.firstExecutionUs(), "the rejected attempt before does not count");
    assertEquals(new StoredMessage.FinalOutcome(false, 700), recovered.get(1).finalOutcome());
  }

  @Test
  void truncatedTailIsDroppedAndEarlierBatchesSurvive() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.recordAccepted(message("whole", 50)));
      assertEquals(MessageStore.FlushResult.DURABLE, journal.flush());
      assertTrue(journal.recordAccepted(message("torn", 50)));
    }
    final Path file = folder.resolve("journal");
    final byte[] all = Files.readAllBytes(file);
    for (int cut = 1; cut < 60; cut++) {
      Files.write(file, Arrays.copyOf(all, all.length - cut));
      assertEquals(List.of("whole"), reopenedIds());
    }
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.recordAccepted(message("next", 50)));
    }
    assertEquals(List.of("whole", "next"), reopenedIds());
  }

  /** Wherever a kill cuts a write, either all records of a flush are read back or none. */
  @Test
  void batchIsReadCompleteOrNotAtAll() throws IOException {
    final Path file = folder.resolve("journal");
    final int before;
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.recordAccepted(message("whole", 50)));
      assertEquals(MessageStore.FlushResult.DURABLE, journal.flush());
      before = (int) Files.size(file);
      assertTrue(
          journal.recordAccepted(message("first", 50))
              && journal.recordAccepted(message("second", 50)));
    }
    final byte[] all = Files.readAllBytes(file);
    for (int length = before; length < all.length; length++) {
      Files.write(file, Arrays.copyOf(all, length));
      assertEquals(List.of("whole"), reopenedIds(), "cut to " + length);
    }
    Files.write(file, all);
    assertEquals(List.of("whole", "first", "second"), reopenedIds());
  }

  /** Bytes that look like a batch but belong to another file are not taken for one. */
  @Test
  void batchOfAnotherGenerationIsIgnored() throws IOException {
    final Path file = folder.resolve("journal");
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.recordAccepted(message("own", 50)));
    }
    final byte[] own = Files.readAllBytes(file);
    Files.delete(file);
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.recordAccepted(message("foreign", 50)));
    }
    final byte[] foreign = Files.readAllBytes(file);
    final byte[] both = Arrays.copyOf(own, own.length + foreign.length);
    System.arraycopy(foreign, 0, both, own.length, foreign.length);
    Files.write(file, both);
    assertEquals(List.of("own"), reopenedIds());
  }

  /** The journal of versions up to 0.2: single records, timestamps of the wall clock. */
  @Test
  void legacyFormatIsReadAndReplaced() throws IOException {
    final Clock clock = new Clock();
    final long deadlineWallClockUs = clock.wallClockUs() + 5_000_000;
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    final DataOutputStream record = new DataOutputStream(bytes);
    record.writeByte(1);
    record.writeUTF("old");
    record.writeUTF("keyed");
    record.writeBoolean(true);
    record.writeUTF("k");
    record.writeLong(7);
    record.writeLong(deadlineWallClockUs);
    record.writeInt(3);
    record.write(new byte[] {1, 2, 3});
    record.writeInt(2);
    record.writeLong(StoredMessage.NEVER);
    record.writeUTF("");
    final CRC32C crc = new CRC32C();
    crc.update(bytes.toByteArray());
    final ByteBuffer file =
        ByteBuffer.allocate(8 + bytes.size())
            .putInt(bytes.size())
            .putInt((int) crc.getValue())
            .put(bytes.toByteArray());
    Files.write(folder.resolve("journal"), file.array());
    for (int reopened = 0; reopened < 2; reopened++) {
      final StoredMessage message = reopen().get(0);
      assertEquals("old", message.id());
      assertEquals(2, message.attempts());
      assertEquals(StoredMessage.NEVER, message.firstExecutionUs());
      assertEquals(
          (double) (clock.nowUs() + deadlineWallClockUs - clock.wallClockUs()),
          (double) message.deadlineUs(),
          1_000_000);
    }
  }

  @Test
  void checksumMismatchEndsReading() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.recordAccepted(message("whole", 50)));
      assertEquals(MessageStore.FlushResult.DURABLE, journal.flush());
      assertTrue(journal.recordAccepted(message("spoilt", 50)));
    }
    final Path file = folder.resolve("journal");
    final byte[] all = Files.readAllBytes(file);
    all[all.length - 30] ^= 1;
    Files.write(file, all);
    assertEquals(List.of("whole"), reopenedIds());
  }

  @Test
  void diskUsageStaysBounded() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      final StoredMessage staying = message("staying", 500);
      assertTrue(journal.recordAccepted(staying));
      journal.recordAttemptStarted(staying, 3000, "a");
      for (int round = 0; round < 2000; round++) {
        final StoredMessage passing = message("m" + round, 200);
        assertTrue(journal.recordAccepted(passing));
        journal.recordAttemptStarted(passing, round, "a");
        journal.recordAttemptOutcome(passing, false);
        journal.recordCompleted(passing);
        assertEquals(MessageStore.FlushResult.DURABLE, journal.flush());
        assertTrue(usedBytes() < DISK_BYTES / 2, "used: " + usedBytes());
      }
    }
    final List<StoredMessage> recovered = reopen();
    assertEquals(List.of("staying"), recovered.stream().map(StoredMessage::id).toList());
    assertTrue(recovered.get(0).hasAttemptInFlight(), "a compaction keeps the attempt in flight");
  }

  @Test
  void fullJournalRejectsMessagesButRecordsOutcomes() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      int accepted = 0;
      while (accepted < 1000 && journal.recordAccepted(message("m" + accepted, 1000))) {
        accepted++;
      }
      assertTrue(accepted > 10 && accepted < 100, "accepted: " + accepted);
      assertFalse(journal.recordAccepted(message("late", 1000)));
      for (final StoredMessage message : List.copyOf(journal.pendingMessages())) {
        for (int attempt = 0; attempt < 12; attempt++) {
          journal.recordAttemptStarted(message, attempt, "a");
          journal.recordAttemptOutcome(message, true);
          assertEquals(
              MessageStore.FlushResult.DURABLE,
              journal.flush(),
              "space for the outcomes of messages is reserved");
        }
        journal.recordFinalOutcome(message, new StoredMessage.FinalOutcome(true, 0));
      }
      assertTrue(
          journal.recordAccepted(message("later", 1000)),
          "a message that only has its outcome to report needs no space for a body");
      assertTrue(usedBytes() < DISK_BYTES, "used: " + usedBytes());
    }
  }

  @Test
  void unfinishedCompactionIsDropped() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.recordAccepted(message("kept", 50)));
    }
    Files.write(folder.resolve("journal.next"), new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
    assertEquals(List.of("kept"), reopenedIds());
    assertFalse(Files.exists(folder.resolve("journal.next")));
  }

  private long usedBytes() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.mapToLong(file -> file.toFile().length()).sum();
    }
  }
}
