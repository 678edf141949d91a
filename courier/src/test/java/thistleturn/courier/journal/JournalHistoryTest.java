package thistleturn.courier.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.journal.JournalHistory.Fate;
import thistleturn.courier.port.MessageStore.FlushResult;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;

/**
 * What a journal tells of a message whose client may not have been answered: a wrong yes loses it,
 * and a wrong no delivers it twice.
 */
@Tag("operators")
final class JournalHistoryTest {
  private static final long DISK_BYTES = 3_000_000;
  private static final int BODY_BYTES = 1000;

  private final Clock clock = new Clock();
  @TempDir private Path folder;
  private Journal journal;
  private StoredMessage message;
  private long submittedUs;

  @BeforeEach
  void openJournal() throws IOException {
    journal = Journal.open(folder, DISK_BYTES);
    submittedUs = clock.nowUs();
    message = message("m1");
  }

  private StoredMessage message(final String id) {
    return new StoredMessage(id, "once", null, 7, submittedUs + 1_000_000, new byte[BODY_BYTES]);
  }

  private void flush() {
    assertEquals(FlushResult.DURABLE, journal.flush());
  }

  private Fate fate() throws IOException {
    return JournalHistory.read(folder, Set.of("m1")).takeFate("m1", submittedUs);
  }

  private void startCall() {
    journal.recordAttemptStarted(message, clock.nowUs(), "a");
  }

  @Test
  void messageThatIsNotThere_wasNotTakenOn() throws IOException {
    journal.recordAccepted(message("m2"));
    flush();
    assertEquals(Fate.NOT_TAKEN_ON, fate());
  }

  @Test
  void recordThatWasNotFlushed_doesNotCount() throws IOException {
    journal.recordAccepted(message);
    assertEquals(Fate.NOT_TAKEN_ON, fate());
  }

  @Test
  void pendingMessage_wasTakenOn() throws IOException {
    journal.recordAccepted(message);
    flush();
    assertEquals(Fate.TAKEN_ON, fate());
    startCall();
    flush();
    assertEquals(Fate.TAKEN_ON, fate());
  }

  @Test
  void deliveredMessage_wasTakenOn() throws IOException {
    journal.recordAccepted(message);
    startCall();
    flush();
    journal.recordCompleted(message);
    flush();
    assertEquals(Fate.TAKEN_ON, fate());
  }

  @Test
  void messageDeliveredByASecondCall_wasTakenOn() throws IOException {
    journal.recordAccepted(message);
    startCall();
    flush();
    journal.recordAttemptOutcome(message, true);
    startCall();
    flush();
    journal.recordCompleted(message);
    flush();
    assertEquals(Fate.TAKEN_ON, fate());
  }

  @Test
  void messageWhoseEndWasReported_wasTakenOn() throws IOException {
    journal.recordAccepted(message);
    flush();
    journal.recordFinalOutcome(message, new StoredMessage.FinalOutcome(true, 0));
    flush();
    assertEquals(Fate.TAKEN_ON, fate(), "still to be reported");
    journal.recordCompleted(message);
    flush();
    assertEquals(Fate.TAKEN_ON, fate());
  }

  /** Guards against an acceptance of what a round has shed: both records are in one batch. */
  @Test
  void messageShedInItsRound_wasNotTakenOn() throws IOException {
    journal.recordAccepted(message);
    journal.recordCompleted(message);
    flush();
    assertEquals(Fate.NOT_TAKEN_ON, fate());
  }

  /** A timer that is late flushes the journal ahead of the round, which may shed the message. */
  @Test
  void messageShedInTheRoundAfterItsFlush_wasNotTakenOn() throws IOException {
    journal.recordAccepted(message);
    flush();
    journal.recordCompleted(message);
    flush();
    assertEquals(Fate.NOT_TAKEN_ON, fate());
  }

  /** A call whose record could not be written does not begin, and its client is rejected. */
  @Test
  void messageWhoseCallCouldNotBeRecorded_wasNotTakenOn() throws IOException {
    journal.recordAccepted(message);
    flush();
    startCall();
    journal.recordCompleted(message);
    flush();
    assertEquals(Fate.NOT_TAKEN_ON, fate());
  }

  /** Guards against a second delivery: the message may have ended before the file was begun. */
  @Test
  void messageOlderThanTheFile_isUnknownUnlessItIsPending() throws IOException {
    journal.recordAccepted(message);
    startCall();
    flush();
    journal.recordCompleted(message);
    journal.recordAccepted(message("m2"));
    journal.compactAndClose();
    assertEquals(Fate.UNKNOWN, fate());
    final JournalHistory history = JournalHistory.read(folder, Set.of("m2", "m3"));
    assertEquals(Fate.TAKEN_ON, history.takeFate("m2", submittedUs));
    assertEquals(Fate.NOT_TAKEN_ON, history.takeFate("m3", clock.nowUs()), "handed in since");
  }

  /** Guards against two clients that each take one message for theirs. */
  @Test
  void fateIsTakenOnce() throws IOException {
    journal.recordAccepted(message);
    flush();
    final JournalHistory history = JournalHistory.read(folder, Set.of("m1"));
    assertEquals(Fate.TAKEN_ON, history.takeFate("m1", submittedUs));
    assertEquals(Fate.NOT_TAKEN_ON, history.takeFate("m1", submittedUs));
  }

  @Test
  void fileOfAnotherFormat_tellsNothing() throws IOException {
    journal.close();
    Files.write(folder.resolve("journal"), "no journal".getBytes(StandardCharsets.US_ASCII));
    assertEquals(Fate.UNKNOWN, fate());
    assertTrue(Files.size(folder.resolve("journal")) > 0, "it is left as it is");
  }
}
