package thistleturn.courier.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import thistleturn.courier.port.StoredMessage;

/**
 * Determines which of some messages the process that wrote a journal had accepted, as far as its
 * file shows. That includes messages that have ended since: only a compaction removes their
 * records.
 *
 * <p>A message that was dropped before its client was answered is completed in the journal too.
 * Such a message had no call whose record was flushed before its completion was recorded, and no
 * final outcome to report. An accepted message is completed by the outcome of its call, or once its
 * final outcome has been reported.
 */
public final class JournalHistory {
  /** Whether a message was accepted. */
  public enum Acceptance {
    /** It was accepted: it is pending, or has ended since. */
    ACCEPTED,
    /** It was not accepted, and no part of it was sent. */
    NOT_ACCEPTED,
    /** The journal may have contained it, but holds no trace of it any more. */
    UNKNOWN
  }

  private final Set<String> acceptedIds = new HashSet<>();

  /**
   * When the file was begun, on the monotonic clock, us: messages that ended before left no trace.
   */
  private final long completeSinceUs;

  private JournalHistory(final long completeSinceUs) {
    this.completeSinceUs = completeSinceUs;
  }

  /** Returns the history to use if no journal can be read: every message is unknown. */
  public static JournalHistory unknown() {
    return new JournalHistory(Long.MAX_VALUE);
  }

  /**
   * Reads which of these messages were accepted. The journal must not be written meanwhile.
   *
   * @throws IOException if it cannot be read now
   */
  public static JournalHistory read(final Path folder, final Set<String> messageIds)
      throws IOException {
    if (messageIds.isEmpty()) {
      return unknown();
    }
    final List<ByteBuffer> batches = new ArrayList<>();
    final JournalFile file = JournalFile.open(folder, batches::add);
    if (file == null) {
      return unknown();
    }
    file.close();
    if (batches.isEmpty()) {
      return unknown();
    }
    final JournalHistory history =
        new JournalHistory(BatchTimestamps.read(batches.get(0)).monotonicUs());
    history.acceptedIds.addAll(new Reader().read(batches));
    history.acceptedIds.retainAll(messageIds);
    return history;
  }

  /**
   * Returns whether a message was accepted. An acceptance is returned once: a second message with
   * the same id was not accepted in addition.
   *
   * @param submittedUs when its client submitted it, on the monotonic clock
   */
  public Acceptance takeAcceptance(final String messageId, final long submittedUs) {
    if (acceptedIds.remove(messageId)) {
      return Acceptance.ACCEPTED;
    }
    return submittedUs < completeSinceUs ? Acceptance.UNKNOWN : Acceptance.NOT_ACCEPTED;
  }

  /** Replays the records of a file to its end. */
  private static final class Reader implements RecordReader.Observer {
    private final Map<String, StoredMessage> messages = new HashMap<>();
    private final Set<String> acceptedIds = new HashSet<>();

    /** The messages whose last attempt started in the batch that is being read. */
    private final Set<String> startedInBatch = new HashSet<>();

    private Set<String> read(final List<ByteBuffer> batches) {
      final RecordReader records = new RecordReader(messages, LongUnaryOperator.identity(), this);
      for (final ByteBuffer batch : batches) {
        startedInBatch.clear();
        records.applyBatch(batch);
      }
      acceptedIds.addAll(messages.keySet());
      return acceptedIds;
    }

    @Override
    public void onAttemptStarted(final String messageId) {
      startedInBatch.add(messageId);
    }

    @Override
    public void onCompleted(final StoredMessage message) {
      final boolean wasCalled =
          message.hasAttemptInFlight() && !startedInBatch.contains(message.id());
      if (wasCalled || message.finalOutcome() != null) {
        acceptedIds.add(message.id());
      }
    }
  }
}
