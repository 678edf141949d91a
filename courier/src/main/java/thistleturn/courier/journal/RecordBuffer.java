package thistleturn.courier.journal;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import thistleturn.courier.port.StoredMessage;

/**
 * Unwritten records, as the bytes of one batch: space for the batch's header and timestamps, then
 * the records. {@link RecordReader} reads them back.
 */
final class RecordBuffer {
  private static final int INITIAL_BYTES = 1 << 12;
  private static final int PREFIX_BYTES = JournalFile.BATCH_HEADER_BYTES + BatchTimestamps.BYTES;

  /** A buffer that has grown beyond this under load is not retained. */
  private static final int MAX_RETAINED_BYTES = 1 << 18;

  private ReusableBuffer bytes = new ReusableBuffer();
  private DataOutputStream out = new DataOutputStream(bytes);

  /** A stream that gives access to its array, so that a batch is written without a copy. */
  private static final class ReusableBuffer extends ByteArrayOutputStream {
    private ReusableBuffer() {
      super(INITIAL_BYTES);
    }

    private byte[] array() {
      return buf;
    }
  }

  /** Writes the fields of a record that follow its type and the message's id. */
  private interface FieldWriter {
    void write(DataOutputStream out) throws IOException;
  }

  RecordBuffer() {
    clear();
  }

  /** Drops all records. */
  void clear() {
    if (bytes.size() > MAX_RETAINED_BYTES) {
      bytes = new ReusableBuffer();
      out = new DataOutputStream(bytes);
    }
    bytes.reset();
    bytes.writeBytes(new byte[PREFIX_BYTES]);
  }

  boolean isEmpty() {
    return bytes.size() == PREFIX_BYTES;
  }

  /** Returns the size of the batch, in bytes. */
  int size() {
    return bytes.size();
  }

  /** Returns all records as one batch. It shares this buffer's memory until the next change. */
  ByteBuffer toBatch(final BatchTimestamps timestamps) {
    final ByteBuffer batch = ByteBuffer.wrap(bytes.array(), 0, bytes.size());
    timestamps.write(batch, JournalFile.BATCH_HEADER_BYTES);
    return batch;
  }

  /**
   * Adds a message with its ended attempts, so that one record of it is enough after a compaction.
   * An attempt in flight has a record of its own.
   */
  void addAccepted(final StoredMessage message) {
    addRecord(RecordType.ACCEPTED, message.id(), to -> writeAccepted(message, to));
  }

  private static void writeAccepted(final StoredMessage message, final DataOutputStream to)
      throws IOException {
    final String key = message.idempotencyKey();
    final int endedAttempts = message.attempts() - (message.hasAttemptInFlight() ? 1 : 0);
    to.writeUTF(message.className());
    to.writeBoolean(key != null);
    to.writeUTF(key == null ? "" : key);
    to.writeLong(message.destination());
    to.writeLong(message.deadlineUs());
    to.writeInt(message.body().length);
    to.write(message.body());
    to.writeInt(endedAttempts);
    to.writeLong(message.firstExecutionUs());
    to.writeUTF(message.executionZone());
  }

  void addAttemptStarted(final String messageId, final long nowUs, final String zone) {
    addRecord(
        RecordType.ATTEMPT_STARTED,
        messageId,
        to -> {
          to.writeLong(nowUs);
          to.writeUTF(zone);
        });
  }

  void addAttemptOutcome(final String messageId, final boolean neverRan) {
    addRecord(RecordType.ATTEMPT_OUTCOME, messageId, to -> to.writeBoolean(neverRan));
  }

  void addFinalOutcome(final String messageId, final StoredMessage.FinalOutcome outcome) {
    addRecord(
        RecordType.FINAL_OUTCOME,
        messageId,
        to -> {
          to.writeBoolean(outcome.failed());
          to.writeLong(outcome.retryAfterMs());
        });
  }

  void addCompleted(final String messageId) {
    addRecord(RecordType.COMPLETED, messageId, to -> {});
  }

  /** Adds all that is known of a message, in as many records as that needs. */
  void addSnapshot(final StoredMessage message) {
    addAccepted(message);
    if (message.hasAttemptInFlight()) {
      addAttemptStarted(message.id(), message.attemptStartedUs(), message.attemptZone());
    }
    if (message.storedOutcome() != null) {
      addFinalOutcome(message.id(), message.storedOutcome());
    }
  }

  private void addRecord(final byte type, final String messageId, final FieldWriter fields) {
    try {
      out.writeByte(type);
      out.writeUTF(messageId);
      fields.write(out);
    } catch (final IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
  }
}
