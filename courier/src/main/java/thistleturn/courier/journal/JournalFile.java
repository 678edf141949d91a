package thistleturn.courier.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * A file of batches, each of which is read back whole or not at all: one length and one checksum
 * for all of it. The checksum covers the file's generation and the batch's place as well, so that
 * bytes which an earlier write left behind, or a client chose, are never taken for a batch. Nothing
 * is synced: the folder outlasts the process, and a machine that is lost loses the folder as well.
 *
 * <p>A write that is told as failed may have been done in part, or in whole. The next one at the
 * same place overwrites it; and what it has left meanwhile is looked up, since that is what the
 * next process would find.
 */
final class JournalFile implements Closeable {
  private static final String NAME = "journal";
  private static final String REPLACEMENT_NAME = "journal.next";
  private static final long MAGIC = 0x5454_4a4f_5552_4e32L;
  private static final int FILE_HEADER_BYTES = 2 * Long.BYTES;

  /** Length and checksum. */
  static final int BATCH_HEADER_BYTES = 2 * Integer.BYTES;

  private final FileChannel channel;
  private final long generation;

  /** Where the next batch begins. */
  private long size = FILE_HEADER_BYTES;

  /** A write failed, and the folder does not tell whether it was done all the same. */
  static final class UnknownOutcomeException extends IOException {
    private static final long serialVersionUID = 1L;

    UnknownOutcomeException(final IOException cause) {
      super("what a failed write has left cannot be read: " + cause.getMessage(), cause);
    }
  }

  private JournalFile(final FileChannel channel, final long generation) {
    this.channel = channel;
    this.generation = generation;
  }

  static Path path(final Path folder) {
    return folder.resolve(NAME);
  }

  /**
   * Opens the file of a folder and reads its batches; null if there is none, or one that this class
   * did not write.
   *
   * @throws IOException if it cannot be read now
   */
  static JournalFile open(final Path folder, final Consumer<ByteBuffer> batches)
      throws IOException {
    // A kill in the middle of a replacement leaves this; the old file is still the whole truth.
    Files.deleteIfExists(folder.resolve(REPLACEMENT_NAME));
    if (!Files.exists(path(folder)) && Files.notExists(path(folder))) {
      return null;
    }
    final FileChannel channel =
        FileChannel.open(path(folder), StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      final ByteBuffer all = ByteBuffer.allocate((int) channel.size());
      while (all.hasRemaining() && channel.read(all, all.position()) >= 0) {}

      all.flip();
      if (all.remaining() < FILE_HEADER_BYTES || all.getLong(0) != MAGIC) {
        channel.close();
        return null;
      }
      final JournalFile file = new JournalFile(channel, all.getLong(Long.BYTES));
      file.readBatches(all, batches);
      return file;
    } catch (final IOException | RuntimeException e) {
      channel.close();
      throw e;
    }
  }

  private void readBatches(final ByteBuffer all, final Consumer<ByteBuffer> batches) {
    while (all.limit() - size >= BATCH_HEADER_BYTES) {
      final int at = (int) size;
      final int length = all.getInt(at);
      if (length <= 0 || length > all.limit() - at - BATCH_HEADER_BYTES) {
        break;
      }
      final ByteBuffer content = all.slice(at + BATCH_HEADER_BYTES, length);
      if (checksum(content.duplicate(), size) != all.getInt(at + Integer.BYTES)) {
        break;
      }
      batches.accept(content);
      size += BATCH_HEADER_BYTES + length;
    }
    if (size < all.limit()) {
      // A write that was cut off, by a kill or a full disk; nothing was answered or sent on its
      // strength.
      Log.event(Event.JOURNAL_TAIL_DROPPED, "bytes", all.limit() - size, "at", size);
    }
  }

  /**
   * Puts a file with these batches in the place of the one that the folder has, in one step.
   *
   * @throws UnknownOutcomeException if the folder does not tell which of the two it has now
   * @throws IOException if that failed; then the old one stands
   */
  static JournalFile replace(final Path folder, final Collection<ByteBuffer> batches)
      throws IOException {
    final Path next = folder.resolve(REPLACEMENT_NAME);
    final FileChannel channel =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    try {
      final JournalFile fresh = new JournalFile(channel, ThreadLocalRandom.current().nextLong());
      writeFully(
          channel,
          ByteBuffer.allocate(FILE_HEADER_BYTES).putLong(MAGIC).putLong(fresh.generation).flip(),
          0);
      for (final ByteBuffer batch : batches) {
        fresh.writeHeader(batch);
        final int bytes = batch.remaining();
        writeFully(channel, batch, fresh.size);
        fresh.size += bytes;
      }
      rename(next, path(folder));
      return fresh;
    } catch (final IOException e) {
      closeQuietly(channel);
      throw e;
    }
  }

  /**
   * A rename that is told as failed may have been done: then the file is no longer where it was.
   */
  private static void rename(final Path from, final Path to) throws IOException {
    try {
      Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
    } catch (final IOException e) {
      if (Files.notExists(from)) {
        return;
      }
      throw Files.exists(from) ? e : new UnknownOutcomeException(e);
    }
  }

  long size() {
    return size;
  }

  /**
   * Writes a batch behind the last one. The buffer holds room for the head ahead of the content.
   *
   * @throws UnknownOutcomeException if it may have been written, or not
   * @throws IOException if it has certainly not been written as a whole
   */
  void append(final ByteBuffer batch) throws IOException {
    writeHeader(batch);
    try {
      writeFully(channel, batch.duplicate(), size);
    } catch (final IOException e) {
      if (!isWritten(batch)) {
        throw e;
      }
      Log.event(
          Event.JOURNAL_WRITE_DONE_ALL_THE_SAME,
          "bytes",
          batch.remaining(),
          "cause",
          e.getMessage());
    }
    size += batch.remaining();
  }

  /** Puts length and checksum into the head of a batch that goes behind the last one. */
  private void writeHeader(final ByteBuffer batch) {
    final int length = batch.remaining() - BATCH_HEADER_BYTES;
    batch.putInt(batch.position(), length);
    batch.putInt(
        batch.position() + Integer.BYTES,
        checksum(batch.slice(batch.position() + BATCH_HEADER_BYTES, length), size));
  }

  private boolean isWritten(final ByteBuffer batch) throws UnknownOutcomeException {
    try {
      final ByteBuffer found = ByteBuffer.allocate(batch.remaining());
      while (found.hasRemaining() && channel.read(found, size + found.position()) >= 0) {}

      return found.flip().equals(batch);
    } catch (final IOException e) {
      throw new UnknownOutcomeException(e);
    }
  }

  private int checksum(final ByteBuffer content, final long at) {
    final CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(generation).putLong(at).flip());
    crc.update(content);
    return (int) crc.getValue();
  }

  private static void writeFully(final FileChannel to, final ByteBuffer bytes, final long at)
      throws IOException {
    long position = at;
    while (bytes.hasRemaining()) {
      final int written = to.write(bytes, position);
      if (written <= 0) {
        throw new IOException("a write of " + bytes.remaining() + " bytes wrote none");
      }
      position += written;
    }
  }

  private static void closeQuietly(final FileChannel channel) {
    try {
      channel.close();
    } catch (final IOException e) {
      // The system lets a descriptor go whatever it says of that.
      Log.event(Event.FILE_CLOSE_FAILED, "cause", e.getMessage());
    }
  }

  @Override
  public void close() {
    closeQuietly(channel);
  }
}
