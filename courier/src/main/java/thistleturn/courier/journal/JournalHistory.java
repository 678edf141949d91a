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
 * Which of some messages the process that wrote a journal had taken on, as far as its file tells.
 * Messages that have ended since are among them: a compaction alone removes their records.
 *
 * <p>A message that was dropped before its client was answered is completed in the journal too. It
 * never was in a call whose record was safe when its completion was recorded, and no end of it was
 * to be reported; one that was taken on is completed by the outcome of its call, or once its end
 * has been reported.
 */
public final class JournalHistory {
  /** What is known of a message. */
  public enum Fate {
    /** It was taken on: it is pending, or has ended since. */
    TAKEN_ON,
    /** It was not, and nothing was sent of it. */
    NOT_TAKEN_ON,
    /** The journal may have held it, and holds no trace any more. */
    UNKNOWN
  }

  private final Set<String> takenOn = new HashSet<>();

  /** When the file was begun, on the monotonic clock, us: earlier ends have left no trace. */
  private final long completeSinceUs;

  private JournalHistory(final long completeSinceUs) {
    this.completeSinceUs = completeSinceUs;
  }

  /** Returns what is known where no journal can be read: nothing. */
  public static JournalHistory unknown() {
    return new JournalHistory(Long.MAX_VALUE);
  }

  /**
   * Reads what became of these messages. Nobody writes the journal meanwhile.
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
    history.takenOn.addAll(new Reader().read(batches));
    history.takenOn.retainAll(messageIds);
    return history;
  }

  /**
   * Returns what became of a message, once: another one of its id was not taken on beside it.
   *
   * @param submittedUs when its client handed it in, on the monotonic clock
   */
  public Fate takeFate(final String messageId, final long submittedUs) {
    if (takenOn.remove(messageId)) {
      return Fate.TAKEN_ON;
    }
    return submittedUs < completeSinceUs ? Fate.UNKNOWN : Fate.NOT_TAKEN_ON;
  }

  /** Follows the records of a file to its end. */
  private static final class Reader implements RecordReader.Observer {
    private final Map<String, StoredMessage> messages = new HashMap<>();
    private final Set<String> takenOn = new HashSet<>();

    /** The messages whose last attempt started in the batch that is being read. */
    private final Set<String> startedInBatch = new HashSet<>();

    private Set<String> read(final List<ByteBuffer> batches) {
      final RecordReader records = new RecordReader(messages, LongUnaryOperator.identity(), this);
      for (final ByteBuffer batch : batches) {
        startedInBatch.clear();
        records.applyBatch(batch);
      }
      takenOn.addAll(messages.keySet());
      return takenOn;
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
        takenOn.add(message.id());
      }
    }
  }
}
