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
import thistleturn.courier.port.Held;
import thistleturn.courier.port.Store;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.model.PriorAttempts;

/** What outlasts the process, and what a kill in the middle of a write leaves of it. */
final class JournalTest {
  private static final long DISK_BYTES = 100_000;

  @TempDir private Path folder;

  private static Held held(final String id, final int bytes) {
    return new Held(id, "keyed", "key-" + id, 7, 5_000_000, new byte[bytes]);
  }

  private List<Held> reopened() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      return List.copyOf(journal.live());
    }
  }

  /**
   * What is owed only a notice makes room, and the same id does not count twice while that is so.
   */
  @Test
  void aTrimThatFailsLeavesTheJournalClosedAndWhole() throws IOException {
    final Journal journal = Journal.open(folder, DISK_BYTES);
    assertTrue(journal.take(held("m1", 100)));
    // The trimmed file cannot be made where a folder of its name stands.
    Files.createDirectory(folder.resolve("journal.next"));
    journal.closeTrimmed();
    assertEquals(List.of("m1"), reopened().stream().map(Held::id).toList());
  }

  @Test
  void aNoticeThatIsOwedTakesNoRoomForItsBody() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      for (int count = 0; count < 30; count++) {
        final Held held = held("m" + count, 10_000);
        assertTrue(journal.take(held), "message " + count);
        journal.owe(held, new Held.Notice(true, 0));
        assertFalse(journal.take(held("m" + count, 10)), "its id is not free yet");
      }
    }
    assertEquals(30, reopened().size());
    assertTrue(
        reopened().stream().allMatch(held -> held.notice().failed() && held.body().length == 0));
  }

  /** A full disk for a moment: what could not be written then is written with the next record. */
  @Test
  void whatCouldNotBeWrittenIsMadeUpFor() throws IOException {
    final Path blocked = folder.resolve("journal.next");
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      final Held first = held("first", 10_000);
      final Held second = held("second", 10_000);
      assertTrue(journal.take(first) && journal.take(second));
      // The next compaction cannot make its file.
      Files.createDirectory(blocked);
      Files.createFile(blocked.resolve("in-the-way"));
      int attempts = 0;
      while (journal.flush() == Store.Flush.SAFE) {
        journal.begin(second, 1000, "zone".repeat(500));
        journal.settle(second, true);
        attempts++;
      }
      assertTrue(attempts > 1);
      assertFalse(journal.isWritable());
      assertFalse(
          journal.take(held("third", 10)), "nothing is taken on that cannot be written down");
      journal.over(first);
      Files.delete(blocked.resolve("in-the-way"));
      Files.delete(blocked);
      journal.begin(second, 2000, "b");
      assertEquals(Store.Flush.SAFE, journal.flush());
      assertTrue(journal.isWritable());
    }
    assertEquals(List.of("second"), reopened().stream().map(held -> held.id()).toList());
  }

  @Test
  void keepsWhatIsOwedAndForgetsWhatIsOver() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      final Held sent = new Held("sent", "keyed", "k", 7, 5_000_000, new byte[] {1, 2, 3});
      final Held over = held("over", 3);
      final Held ended = held("ended", 3);
      Stream.of(sent, over, ended).forEach(one -> assertTrue(journal.take(one)));
      journal.begin(sent, 1000, "a");
      journal.settle(sent, true);
      journal.begin(sent, 2000, "b");
      journal.over(over);
      journal.owe(ended, new Held.Notice(false, 700));
    }
    final List<Held> live = reopened();
    assertEquals(List.of("sent", "ended"), live.stream().map(one -> one.id()).toList());
    final Held sent = live.get(0);
    assertArrayEquals(new byte[] {1, 2, 3}, sent.body());
    assertEquals("k", sent.idempotencyKey());
    final PriorAttempts past = sent.past();
    assertEquals(2, past.attempts());
    assertTrue(past.mayHaveExecuted(), "the attempt that was out may have run");
    assertEquals("b", past.executionZone());
    assertEquals(2000, past.firstExecutionUs(), "the refused attempt before does not count");
    assertEquals(new Held.Notice(false, 700), live.get(1).notice());
  }

  @Test
  void aTornTailIsCutAndWhatStandsBeforeItIsKept() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.take(held("whole", 50)));
      assertEquals(Store.Flush.SAFE, journal.flush());
      assertTrue(journal.take(held("torn", 50)));
    }
    final Path file = folder.resolve("journal");
    final byte[] all = Files.readAllBytes(file);
    for (int cut = 1; cut < 60; cut++) {
      Files.write(file, Arrays.copyOf(all, all.length - cut));
      assertEquals(List.of("whole"), reopened().stream().map(one -> one.id()).toList());
    }
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.take(held("next", 50)));
    }
    assertEquals(List.of("whole", "next"), reopened().stream().map(one -> one.id()).toList());
  }

  /**
   * All that one flush writes is there or is not, wherever a kill cuts it: half of a pass is no
   * state that ever was.
   */
  @Test
  void aBatchIsReadBackWholeOrNotAtAll() throws IOException {
    final Path file = folder.resolve("journal");
    final int before;
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.take(held("whole", 50)));
      assertEquals(Store.Flush.SAFE, journal.flush());
      before = (int) Files.size(file);
      assertTrue(journal.take(held("first", 50)) && journal.take(held("second", 50)));
    }
    final byte[] all = Files.readAllBytes(file);
    for (int length = before; length < all.length; length++) {
      Files.write(file, Arrays.copyOf(all, length));
      assertEquals(
          List.of("whole"), reopened().stream().map(Held::id).toList(), "cut to " + length);
    }
    Files.write(file, all);
    assertEquals(List.of("whole", "first", "second"), reopened().stream().map(Held::id).toList());
  }

  /**
   * What a client chose to look like a batch, left behind by a write that was cut off, is not taken
   * for one.
   */
  @Test
  void bytesOfAnotherFileAreNoBatch() throws IOException {
    final Path file = folder.resolve("journal");
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.take(held("own", 50)));
    }
    final byte[] own = Files.readAllBytes(file);
    Files.delete(file);
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.take(held("foreign", 50)));
    }
    final byte[] foreign = Files.readAllBytes(file);
    final byte[] both = Arrays.copyOf(own, own.length + foreign.length);
    System.arraycopy(foreign, 0, both, own.length, foreign.length);
    Files.write(file, both);
    assertEquals(List.of("own"), reopened().stream().map(Held::id).toList());
  }

  /** The journal of the version before this one: single records, moments of the wall clock. */
  @Test
  void theEarlierFormatIsReadAndReplaced() throws IOException {
    final Clock clock = new Clock();
    final long validWallUs = clock.wallUs() + 5_000_000;
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    final DataOutputStream record = new DataOutputStream(bytes);
    record.writeByte(1);
    record.writeUTF("old");
    record.writeUTF("keyed");
    record.writeBoolean(true);
    record.writeUTF("k");
    record.writeLong(7);
    record.writeLong(validWallUs);
    record.writeInt(3);
    record.write(new byte[] {1, 2, 3});
    record.writeInt(2);
    record.writeLong(Held.NEVER);
    record.writeUTF("");
    final CRC32C crc = new CRC32C();
    crc.update(bytes.toByteArray());
    final ByteBuffer file =
        ByteBuffer.allocate(8 + bytes.size())
            .putInt(bytes.size())
            .putInt((int) crc.getValue())
            .put(bytes.toByteArray());
    Files.write(folder.resolve("journal"), file.array());
    for (int time = 0; time < 2; time++) {
      final Held held = reopened().get(0);
      assertEquals("old", held.id());
      assertEquals(2, held.attempts());
      assertEquals(Held.NEVER, held.firstRunUs());
      assertEquals(
          (double) (clock.nowUs() + validWallUs - clock.wallUs()),
          (double) held.validUntilUs(),
          1_000_000);
    }
  }

  @Test
  void aRecordThatDoesNotMatchItsSumIsTheEnd() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.take(held("whole", 50)));
      assertEquals(Store.Flush.SAFE, journal.flush());
      assertTrue(journal.take(held("spoilt", 50)));
    }
    final Path file = folder.resolve("journal");
    final byte[] all = Files.readAllBytes(file);
    all[all.length - 30] ^= 1;
    Files.write(file, all);
    assertEquals(List.of("whole"), reopened().stream().map(one -> one.id()).toList());
  }

  @Test
  void staysInsideItsDiskHoweverLongItRuns() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      final Held staying = held("staying", 500);
      assertTrue(journal.take(staying));
      journal.begin(staying, 3000, "a");
      for (int round = 0; round < 2000; round++) {
        final Held passing = held("m" + round, 200);
        assertTrue(journal.take(passing));
        journal.begin(passing, round, "a");
        journal.settle(passing, false);
        journal.over(passing);
        assertEquals(Store.Flush.SAFE, journal.flush());
        assertTrue(used() < DISK_BYTES / 2, "used: " + used());
      }
    }
    final List<Held> live = reopened();
    assertEquals(List.of("staying"), live.stream().map(one -> one.id()).toList());
    assertTrue(live.get(0).isOut(), "a compaction keeps the attempt that is out");
  }

  @Test
  void takesNothingOnWhenItIsFullButStillRecordsEnds() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      int taken = 0;
      while (taken < 1000 && journal.take(held("m" + taken, 1000))) {
        taken++;
      }
      assertTrue(taken > 10 && taken < 100, "taken: " + taken);
      assertFalse(journal.take(held("late", 1000)));
      for (final Held one : List.copyOf(journal.live())) {
        for (int attempt = 0; attempt < 12; attempt++) {
          journal.begin(one, attempt, "a");
          journal.settle(one, true);
          assertEquals(Store.Flush.SAFE, journal.flush(), "room for how messages fare is kept");
        }
        journal.owe(one, new Held.Notice(true, 0));
      }
      assertTrue(
          journal.take(held("later", 1000)), "a notice that is owed needs no room for a body");
      assertTrue(used() < DISK_BYTES, "used: " + used());
    }
  }

  @Test
  void anUnfinishedCompactionIsDropped() throws IOException {
    try (Journal journal = Journal.open(folder, DISK_BYTES)) {
      assertTrue(journal.take(held("kept", 50)));
    }
    Files.write(folder.resolve("journal.next"), new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
    assertEquals(List.of("kept"), reopened().stream().map(one -> one.id()).toList());
    assertFalse(Files.exists(folder.resolve("journal.next")));
  }

  private long used() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.mapToLong(file -> file.toFile().length()).sum();
    }
  }
}
