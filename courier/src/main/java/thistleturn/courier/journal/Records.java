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
import thistleturn.courier.port.Held;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * What the journal says of messages, as bytes: a batch of records behind the room for its head and
 * the two clocks at its writing. Its moments are those of the monotonic clock.
 */
final class Records {
  private static final byte TAKEN = 1;
  private static final byte BEGUN = 2;
  private static final byte SETTLED = 3;
  private static final byte OWED = 4;
  private static final byte OVER = 5;

  /** The room for a batch's head, and the two clocks. */
  private static final int PREFIX_BYTES = JournalFile.BATCH_HEAD_BYTES + 2 * Long.BYTES;

  /** A buffer that has grown beyond this in a busy moment is not kept. */
  private static final int KEPT_BYTES = 1 << 18;

  private Bytes bytes = new Bytes();
  private DataOutputStream out = new DataOutputStream(bytes);

  /** Bytes that are written again and again to the same place in memory. */
  private static final class Bytes extends ByteArrayOutputStream {
    private Bytes() {
      super(1 << 12);
    }

    private byte[] array() {
      return buf;
    }
  }

  /** The clocks at the writing of a batch. */
  record Stamp(long monotonicUs, long wallUs) {}

  Records() {
    clear();
  }

  void clear() {
    if (bytes.size() > KEPT_BYTES) {
      bytes = new Bytes();
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
  ByteBuffer batch(final Stamp stamp) {
    final ByteBuffer batch = ByteBuffer.wrap(bytes.array(), 0, bytes.size());
    batch.putLong(JournalFile.BATCH_HEAD_BYTES, stamp.monotonicUs());
    batch.putLong(JournalFile.BATCH_HEAD_BYTES + Long.BYTES, stamp.wallUs());
    return batch;
  }

  // ---------------------------------------------------------------- writing

  /** Writes the rest of a record. */
  private interface Content {
    void write(DataOutputStream out) throws IOException;
  }

  private void record(final byte type, final String id, final Content content) {
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
  void taken(final Held held) {
    record(
        TAKEN,
        held.id(),
        to -> {
          to.writeUTF(held.className());
          to.writeBoolean(held.idempotencyKey() != null);
          to.writeUTF(held.idempotencyKey() == null ? "" : held.idempotencyKey());
          to.writeLong(held.destination());
          to.writeLong(held.validUntilUs());
          to.writeInt(held.body().length);
          to.write(held.body());
          to.writeInt(held.attempts() - (held.isOut() ? 1 : 0));
          to.writeLong(held.firstRunUs());
          to.writeUTF(held.runZone());
        });
  }

  void begun(final String id, final long nowUs, final String zone) {
    record(
        BEGUN,
        id,
        to -> {
          to.writeLong(nowUs);
          to.writeUTF(zone);
        });
  }

  void settled(final String id, final boolean neverRan) {
    record(SETTLED, id, to -> to.writeBoolean(neverRan));
  }

  void owed(final String id, final Held.Notice notice) {
    record(
        OWED,
        id,
        to -> {
          to.writeBoolean(notice.failed());
          to.writeLong(notice.againMs());
        });
  }

  void over(final String id) {
    record(OVER, id, to -> {});
  }

  /** All that is known of a message, in as many records as that needs. */
  void whole(final Held held) {
    taken(held);
    if (held.isOut()) {
      begun(held.id(), held.outUs(), held.outZone());
    }
    if (held.notice() != null) {
      owed(held.id(), held.notice());
    }
  }

  // ---------------------------------------------------------------- reading

  /** The clocks at a batch's writing. */
  static Stamp stamp(final ByteBuffer batch) {
    return new Stamp(batch.getLong(0), batch.getLong(Long.BYTES));
  }

  /**
   * Applies a batch to the messages known so far; {@code moment} turns its moments into this
   * process's.
   */
  static void apply(
      final ByteBuffer batch, final Map<String, Held> live, final LongUnaryOperator moment) {
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
      final DataInputStream in, final Map<String, Held> live, final LongUnaryOperator moment)
      throws IOException {
    final byte type = in.readByte();
    final String id = in.readUTF();
    if (type == TAKEN) {
      live.put(id, readTaken(in, id, moment));
      return;
    }
    // What is over is no longer known, but its records are read all the same: others stand behind
    // them.
    final Held held = live.get(id);
    switch (type) {
      case BEGUN -> {
        final long beganUs = moment(in.readLong(), moment);
        final String zone = in.readUTF();
        if (held != null) {
          held.begin(beganUs, zone);
        }
      }
      case SETTLED -> {
        final boolean neverRan = in.readBoolean();
        if (held != null) {
          held.settle(neverRan);
        }
      }
      case OWED -> {
        final Held.Notice notice = new Held.Notice(in.readBoolean(), in.readLong());
        if (held != null) {
          held.owe(notice);
        }
      }
      case OVER -> live.remove(id);
      default -> {
        Log.event(Event.JOURNAL_RECORD_UNKNOWN, "type", type, "id", id);
        throw new IOException("a record of unknown type " + type);
      }
    }
  }

  private static Held readTaken(
      final DataInputStream in, final String id, final LongUnaryOperator moment)
      throws IOException {
    final String className = in.readUTF();
    final boolean keyed = in.readBoolean();
    final String key = in.readUTF();
    final long destination = in.readLong();
    final long validUntilUs = moment(in.readLong(), moment);
    final byte[] body = in.readNBytes(in.readInt());
    final Held taken = new Held(id, className, keyed ? key : null, destination, validUntilUs, body);
    taken.restore(in.readInt(), moment(in.readLong(), moment), in.readUTF());
    return taken;
  }

  private static long moment(final long us, final LongUnaryOperator moment) {
    return us == Held.NEVER ? us : moment.applyAsLong(us);
  }
}
