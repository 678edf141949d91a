package thistleturn.courier.journal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * What the journal says of messages, as bytes: a batch of records behind the room for its head and
 * the two clocks at its writing. Its moments are those of the monotonic clock.
 */
final class JournalRecords {
  private static final byte ACCEPTED = 1;
  private static final byte ATTEMPT_STARTED = 2;
  private static final byte ATTEMPT_OUTCOME = 3;
  private static final byte FINAL_OUTCOME = 4;
  private static final byte COMPLETED = 5;

  /** The room for a batch's head, and the two clocks. */
  private static final int PREFIX_BYTES = JournalFile.BATCH_HEADER_BYTES + 2 * Long.BYTES;

  /** A buffer that has grown beyond this in a busy moment is not kept. */
  private static final int MAX_RETAINED_BYTES = 1 << 18;

  private ReusableBuffer bytes = new ReusableBuffer();
  private DataOutputStream out = new DataOutputStream(bytes);

  /** Bytes that are written again and again to the same place in memory. */
  private static final class ReusableBuffer extends ByteArrayOutputStream {
    private ReusableBuffer() {
      super(1 << 12);
    }

    private byte[] array() {
      return buf;
    }
  }

  /** The clocks at the writing of a batch. */
  record BatchTimestamps(long monotonicUs, long wallUs) {}

  JournalRecords() {
    clear();
  }

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

  int size() {
    return bytes.size();
  }

  /** All records as one batch, stamped with these clocks. */
  ByteBuffer toBatch(final BatchTimestamps stamp) {
    final ByteBuffer batch = ByteBuffer.wrap(bytes.array(), 0, bytes.size());
    batch.putLong(JournalFile.BATCH_HEADER_BYTES, stamp.monotonicUs());
    batch.putLong(JournalFile.BATCH_HEADER_BYTES + Long.BYTES, stamp.wallUs());
    return batch;
  }

  // ---------------------------------------------------------------- writing

  /** Writes the rest of a record. */
  private interface FieldWriter {
    void write(DataOutputStream out) throws IOException;
  }

  private void writeRecord(final byte type, final String id, final FieldWriter content) {
    try {
      out.writeByte(type);
      out.writeUTF(id);
      content.write(out);
    } catch (final IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
  }

  /**
   * A message with all that became of it, so that one record is enough after a compaction; but for
   * an attempt that is out.
   */
  void addAccepted(final StoredMessage held) {
    writeRecord(
        ACCEPTED,
        held.id(),
        to -> {
          to.writeUTF(held.className());
          to.writeBoolean(held.idempotencyKey() != null);
          to.writeUTF(held.idempotencyKey() == null ? "" : held.idempotencyKey());
          to.writeLong(held.destination());
          to.writeLong(held.deadlineUs());
          to.writeInt(held.body().length);
          to.write(held.body());
          to.writeInt(held.attempts() - (held.hasAttemptInFlight() ? 1 : 0));
          to.writeLong(held.firstRunUs());
          to.writeUTF(held.runZone());
        });
  }

  void addAttemptStarted(final String id, final long nowUs, final String zone) {
    writeRecord(
        ATTEMPT_STARTED,
        id,
        to -> {
          to.writeLong(nowUs);
          to.writeUTF(zone);
        });
  }

  void addAttemptOutcome(final String id, final boolean neverRan) {
    writeRecord(ATTEMPT_OUTCOME, id, to -> to.writeBoolean(neverRan));
  }

  void addFinalOutcome(final String id, final StoredMessage.FinalOutcome notice) {
    writeRecord(
        FINAL_OUTCOME,
        id,
        to -> {
          to.writeBoolean(notice.failed());
          to.writeLong(notice.retryAfterMs());
        });
  }

  void addCompleted(final String id) {
    writeRecord(COMPLETED, id, to -> {});
  }

  /** All that is known of a message, in as many records as that needs. */
  void addSnapshot(final StoredMessage held) {
    addAccepted(held);
    if (held.hasAttemptInFlight()) {
      addAttemptStarted(held.id(), held.attemptStartedUs(), held.attemptZone());
    }
    if (held.finalOutcome() != null) {
      addFinalOutcome(held.id(), held.finalOutcome());
    }
  }

  // ---------------------------------------------------------------- reading

  /** The clocks at a batch's writing. */
  static BatchTimestamps readTimestamps(final ByteBuffer batch) {
    return new BatchTimestamps(batch.getLong(0), batch.getLong(Long.BYTES));
  }

  /**
   * Applies a batch to the messages known so far; {@code moment} turns its moments into this
   * process's.
   */
  static void apply(
      final ByteBuffer batch,
      final Map<String, StoredMessage> live,
      final LongUnaryOperator moment) {
    final DataInputStream in =
        new DataInputStream(
            new ByteArrayInputStream(
                batch.array(),
                batch.arrayOffset() + batch.position() + 2 * Long.BYTES,
                batch.remaining() - 2 * Long.BYTES));
    try {
      while (in.available() > 0) {
        apply(in, live, moment);
      }
    } catch (final IOException e) {
      throw new UncheckedIOException("a batch of the journal ends within a record", e);
    }
  }

  /** Applies one record, as this version and the one before it write them. */
  static void apply(
      final DataInputStream in,
      final Map<String, StoredMessage> live,
      final LongUnaryOperator moment)
      throws IOException {
    final byte type = in.readByte();
    final String id = in.readUTF();
    if (type == ACCEPTED) {
      live.put(id, readAccepted(in, id, moment));
      return;
    }
    // What is over is no longer known, but its records are read all the same: others stand behind
    // them.
    final StoredMessage held = live.get(id);
    switch (type) {
      case ATTEMPT_STARTED -> {
        final long beganUs = toThisClock(in.readLong(), moment);
        final String zone = in.readUTF();
        if (held != null) {
          held.startAttempt(beganUs, zone);
        }
      }
      case ATTEMPT_OUTCOME -> {
        final boolean neverRan = in.readBoolean();
        if (held != null) {
          held.endAttempt(neverRan);
        }
      }
      case FINAL_OUTCOME -> {
        final StoredMessage.FinalOutcome notice =
            new StoredMessage.FinalOutcome(in.readBoolean(), in.readLong());
        if (held != null) {
          held.end(notice);
        }
      }
      case COMPLETED -> live.remove(id);
      default -> {
        Log.event(Event.JOURNAL_RECORD_UNKNOWN, "type", type, "id", id);
        throw new IOException("a record of unknown type " + type);
      }
    }
  }

  private static StoredMessage readAccepted(
      final DataInputStream in, final String id, final LongUnaryOperator moment)
      throws IOException {
    final String className = in.readUTF();
    final boolean keyed = in.readBoolean();
    final String key = in.readUTF();
    final long destination = in.readLong();
    final long validUntilUs = toThisClock(in.readLong(), moment);
    final byte[] body = in.readNBytes(in.readInt());
    final StoredMessage taken =
        new StoredMessage(id, className, keyed ? key : null, destination, validUntilUs, body);
    taken.restoreAttempts(in.readInt(), toThisClock(in.readLong(), moment), in.readUTF());
    return taken;
  }

  private static long toThisClock(final long us, final LongUnaryOperator moment) {
    return us == StoredMessage.NEVER ? us : moment.applyAsLong(us);
  }
}
