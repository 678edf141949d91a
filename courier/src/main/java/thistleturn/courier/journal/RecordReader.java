package thistleturn.courier.journal;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/** Applies the records of a journal, in order, to the messages known so far. */
final class RecordReader {
  private static final Observer NO_OBSERVER =
      new Observer() {
        @Override
        public void onAttemptStarted(final String messageId) {}

        @Override
        public void onCompleted(final StoredMessage message) {}
      };

  private final Map<String, StoredMessage> messages;
  private final LongUnaryOperator clockCorrection;
  private final Observer observer;

  /** Is notified of records that leave no trace in the messages. */
  interface Observer {
    /** An attempt started. */
    void onAttemptStarted(String messageId);

    /** A message was completed and removed; its state is that before this record. */
    void onCompleted(StoredMessage message);
  }

  /**
   * Reads records into {@code messages}.
   *
   * @param clockCorrection turns a recorded timestamp into one of this process's clock
   */
  RecordReader(final Map<String, StoredMessage> messages, final LongUnaryOperator clockCorrection) {
    this(messages, clockCorrection, NO_OBSERVER);
  }

  /** Reads records into {@code messages}, and notifies an observer. */
  RecordReader(
      final Map<String, StoredMessage> messages,
      final LongUnaryOperator clockCorrection,
      final Observer observer) {
    this.messages = messages;
    this.clockCorrection = clockCorrection;
    this.observer = observer;
  }

  /** Applies the content of a batch. */
  void applyBatch(final ByteBuffer content) {
    final DataInputStream in =
        new DataInputStream(
            new ByteArrayInputStream(
                content.array(),
                content.arrayOffset() + content.position() + BatchTimestamps.BYTES,
                content.remaining() - BatchTimestamps.BYTES));
    try {
      while (in.available() > 0) {
        applyRecord(in);
      }
    } catch (final IOException e) {
      throw new UncheckedIOException("a batch of the journal ends within a record", e);
    }
  }

  /** Applies one record, as this version and the previous one write it. */
  void applyRecord(final DataInputStream in) throws IOException {
    final byte type = in.readByte();
    final String messageId = in.readUTF();
    // Records of a completed message are read as well, to reach the records behind them.
    switch (type) {
      case RecordType.ACCEPTED -> messages.put(messageId, readAccepted(in, messageId));
      case RecordType.ATTEMPT_STARTED -> applyAttemptStarted(in, messages.get(messageId));
      case RecordType.ATTEMPT_OUTCOME -> applyAttemptOutcome(in, messages.get(messageId));
      case RecordType.FINAL_OUTCOME -> applyFinalOutcome(in, messages.get(messageId));
      case RecordType.COMPLETED -> applyCompleted(messages.remove(messageId));
      default -> {
        Log.event(Event.JOURNAL_RECORD_UNKNOWN, "type", type, "id", messageId);
        throw new IOException("a record of unknown type " + type);
      }
    }
  }

  private StoredMessage readAccepted(final DataInputStream in, final String messageId)
      throws IOException {
    final String className = in.readUTF();
    final boolean hasKey = in.readBoolean();
    final String key = in.readUTF();
    final long destination = in.readLong();
    final long deadlineUs = toThisClock(in.readLong());
    final byte[] body = in.readNBytes(in.readInt());
    final StoredMessage message =
        new StoredMessage(messageId, className, hasKey ? key : null, destination, deadlineUs, body);
    message.restoreAttempts(in.readInt(), toThisClock(in.readLong()), in.readUTF());
    return message;
  }

  private void applyAttemptStarted(final DataInputStream in, final StoredMessage message)
      throws IOException {
    final long startedUs = toThisClock(in.readLong());
    final String zone = in.readUTF();
    if (message != null) {
      message.startAttempt(startedUs, zone);
      observer.onAttemptStarted(message.id());
    }
  }

  private static void applyAttemptOutcome(final DataInputStream in, final StoredMessage message)
      throws IOException {
    final boolean neverRan = in.readBoolean();
    if (message != null) {
      message.endAttempt(neverRan);
    }
  }

  private static void applyFinalOutcome(final DataInputStream in, final StoredMessage message)
      throws IOException {
    final StoredMessage.FinalOutcome outcome =
        new StoredMessage.FinalOutcome(in.readBoolean(), in.readLong());
    if (message != null) {
      message.end(outcome);
    }
  }

  private void applyCompleted(final StoredMessage message) {
    if (message != null) {
      observer.onCompleted(message);
    }
  }

  private long toThisClock(final long us) {
    return us == StoredMessage.NEVER ? us : clockCorrection.applyAsLong(us);
  }
}
