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
import thistleturn.courier.journal.JournalHistory.Acceptance;
import thistleturn.courier.port.MessageStore.FlushResult;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;

/**
 * What a journal shows of a message whose client may not have been answered: reporting it as
 * accepted by mistake loses it, and as not accepted delivers it twice.
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

  private Acceptance acceptance() throws IOException {
    return JournalHistory.read(folder, Set.of("m1")).takeAcceptance("m1", submittedUs);
  }

  private void startCall() {
    journal.recordAttemptStarted(message, clock.nowUs(), "a");
  }

  @Test
  void messageWithoutRecord_isNotAccepted() throws IOException {
    journal.recordAccepted(message("m2"));
    flush();
    assertEquals(Acceptance.NOT_ACCEPTED, acceptance());
  }

  @Test
  void unflushedRecord_isNotAccepted() throws IOException {
    journal.recordAccepted(message);
    assertEquals(Acceptance.NOT_ACCEPTED, acceptance());
  }

  @Test
  void pendingMessage_isAccepted() throws IOException {
    journal.recordAccepted(message);
    flush();
    assertEquals(Acceptance.ACCEPTED, acceptance());
    startCall();
    flush();
    assertEquals(Acceptance.ACCEPTED, acceptance());
  }

  @Test
  void deliveredMessage_isAccepted() throws IOException {
    journal.recordAccepted(message);
    startCall();
    flush();
    journal.recordCompleted(message);
    flush();
    assertEquals(Acceptance.ACCEPTED, acceptance());
  }

  @Test
  void messageDeliveredBySecondCall_isAccepted() throws IOException {
    journal.recordAccepted(message);
    startCall();
    flush();
    journal.recordAttemptOutcome(message, true);
    startCall();
    flush();
    journal.recordCompleted(message);
    flush();
    assertEquals(Acceptance.ACCEPTED, acceptance());
  }

  @Test
  void messageWithReportedOutcome_isAccepted() throws IOException {
    journal.recordAccepted(message);
    flush();
    journal.recordFinalOutcome(message, new StoredMessage.FinalOutcome(true, 0));
    flush();
    assertEquals(Acceptance.ACCEPTED, acceptance(), "still to be reported");
    journal.recordCompleted(message);
    flush();
    assertEquals(Acceptance.ACCEPTED, acceptance());
  }

  /** Guards against accepting a message that its round has shed: both records are in one batch. */
  @Test
  void messageShedInSameRound_isNotAccepted() throws IOException {
    journal.recordAccepted(message);
    journal.recordCompleted(message);
    flush();
    assertEquals(Acceptance.NOT_ACCEPTED, acceptance());
  }

  /** A timer that is late flushes the journal ahead of the round, which may shed the message. */
  @Test
  void messageShedInRoundAfterFlush_isNotAccepted() throws IOException {
    journal.recordAccepted(message);
    flush();
    journal.recordCompleted(message);
    flush();
    assertEquals(Acceptance.NOT_ACCEPTED, acceptance());
  }

  /** A call whose record could not be written does not begin, and its client is rejected. */
  @Test
  void messageWithUnrecordedCall_isNotAccepted() throws IOException {
    journal.recordAccepted(message);
    flush();
    startCall();
    journal.recordCompleted(message);
    flush();
    assertEquals(Acceptance.NOT_ACCEPTED, acceptance());
  }

  /** Guards against a second delivery: the message may have ended before the file was begun. */
  @Test
  void messageOlderThanFile_isUnknownUnlessPending() throws IOException {
    journal.recordAccepted(message);
    startCall();
    flush();
    journal.recordCompleted(message);
    journal.recordAccepted(message("m2"));
    journal.compactAndClose();
    assertEquals(Acceptance.UNKNOWN, acceptance());
    final JournalHistory history = JournalHistory.read(folder, Set.of("m2", "m3"));
    assertEquals(Acceptance.ACCEPTED, history.takeAcceptance("m2", submittedUs));
    assertEquals(
        Acceptance.NOT_ACCEPTED,
        history.takeAcceptance("m3", clock.nowUs()),
        "submitted after the file was begun");
  }

  /** Guards against notifying two clients of the acceptance of one message. */
  @Test
  void acceptance_isReturnedOnce() throws IOException {
    journal.recordAccepted(message);
    flush();
    final JournalHistory history = JournalHistory.read(folder, Set.of("m1"));
    assertEquals(Acceptance.ACCEPTED, history.takeAcceptance("m1", submittedUs));
    assertEquals(Acceptance.NOT_ACCEPTED, history.takeAcceptance("m1", submittedUs));
  }

  @Test
  void fileOfAnotherFormat_isUnknown() throws IOException {
    journal.close();
    Files.write(folder.resolve("journal"), "no journal".getBytes(StandardCharsets.US_ASCII));
    assertEquals(Acceptance.UNKNOWN, acceptance());
    assertTrue(Files.size(folder.resolve("journal")) > 0, "the file is not changed");
  }
}
