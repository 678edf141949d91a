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
 * A file of batches, each of which is read back completely or not at all: one length and one
 * checksum cover all of it. The checksum also covers the file's generation and the batch's
 * position, so that bytes which an earlier write left behind, or a client chose, are never taken
 * for a batch. Nothing is synced: the folder outlasts the process, and a machine that is lost loses
 * the folder as well.
 *
 * <p>A write that is reported as failed may have been done in part, or completely. The next one at
 * the same position overwrites it. What the failed write left is read back, since that is what the
 * next process would find.
 */
final class JournalFile implements Closeable {
  private static final String NAME = "journal";
  private static final String REPLACEMENT_NAME = "journal.next";

  /** The first bytes of a file of this format: "TTJOURN2". */
  private static final long MAGIC = 0x5454_4a4f_5552_4e32L;

  /** The magic number and the generation. */
  private static final int FILE_HEADER_BYTES = 2 * Long.BYTES;

  /** Length and checksum. */
  static final int BATCH_HEADER_BYTES = 2 * Integer.BYTES;

  private final FileChannel channel;
  private final long generation;

  /** Where the next batch begins. */
  private long size = FILE_HEADER_BYTES;

  /** A write failed, and it cannot be determined whether it took effect nevertheless. */
  static final class UnknownOutcomeException extends IOException {
    private static final long serialVersionUID = 1L;

    UnknownOutcomeException(final IOException cause) {
      super("cannot read back the result of a failed write: " + cause.getMessage(), cause);
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
   * Opens the file of a folder and reads its batches; returns null if there is none, or one of
   * another format.
   *
   * @throws IOException if it cannot be read now
   */
  static JournalFile open(final Path folder, final Consumer<ByteBuffer> batches)
      throws IOException {
    // A process killed during a replacement leaves this file; the old one is still complete.
    Files.deleteIfExists(folder.resolve(REPLACEMENT_NAME));
    // If neither check can tell whether the file exists, opening it throws.
    if (!Files.exists(path(folder)) && Files.notExists(path(folder))) {
      return null;
    }
    final FileChannel channel =
        FileChannel.open(path(folder), StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      final ByteBuffer all = ByteBuffer.allocate((int) channel.size());
      readFully(channel, all, 0);
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
    ByteBuffer content = nextBatch(all);
    while (content != null) {
      batches.accept(content);
      size += BATCH_HEADER_BYTES + content.capacity();
      content = nextBatch(all);
    }
    if (size < all.limit()) {
      // A write that a kill or a full disk cut off: no promise was made on the basis of it.
      Log.event(Event.JOURNAL_TAIL_DROPPED, "bytes", all.limit() - size, "at", size);
    }
  }

  /** Returns the content of the batch after the last one read, or null if none is complete. */
  private ByteBuffer nextBatch(final ByteBuffer all) {
    if (all.limit() - size < BATCH_HEADER_BYTES) {
      return null;
    }
    final int position = (int) size;
    final int length = all.getInt(position);
    if (length <= 0 || length > all.limit() - position - BATCH_HEADER_BYTES) {
      return null;
    }
    final ByteBuffer content = all.slice(position + BATCH_HEADER_BYTES, length);
    final int checksum = all.getInt(position + Integer.BYTES);
    return checksum(content.duplicate(), size) == checksum ? content : null;
  }

  /** Fills the buffer from a position on, as far as the file goes. */
  private static void readFully(
      final FileChannel from, final ByteBuffer buffer, final long position) throws IOException {
    int read = 0;
    while (buffer.hasRemaining() && read >= 0) {
      read = from.read(buffer, position + buffer.position());
    }
  }

  /**
   * Replaces the file of a folder by one with these batches, in one step.
   *
   * @throws UnknownOutcomeException if it is unknown which of the two files the folder has now
   * @throws IOException if that failed; then the old file is unchanged
   */
  static JournalFile replace(final Path folder, final Collection<ByteBuffer> batches)
      throws IOException {
    final Path replacement = folder.resolve(REPLACEMENT_NAME);
    final FileChannel channel =
        FileChannel.open(
            replacement,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    try {
      final JournalFile fresh = new JournalFile(channel, ThreadLocalRandom.current().nextLong());
      fresh.writeFileHeader();
      for (final ByteBuffer batch : batches) {
        fresh.writeBatch(batch);
      }
      rename(replacement, path(folder));
      return fresh;
    } catch (final IOException e) {
      closeQuietly(channel);
      throw e;
    }
  }

  private void writeFileHeader() throws IOException {
    final ByteBuffer header =
        ByteBuffer.allocate(FILE_HEADER_BYTES).putLong(MAGIC).putLong(generation).flip();
    writeFully(channel, header, 0);
  }

  private void writeBatch(final ByteBuffer batch) throws IOException {
    writeHeader(batch);
    final int bytes = batch.remaining();
    writeFully(channel, batch, size);
    size += bytes;
  }

  /**
   * Renames a file. A rename that is reported as failed may have been done: then the source is
   * gone.
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

  /** Returns the size of the file up to the end of its last batch, in bytes. */
  long size() {
    return size;
  }

  /**
   * Writes a batch after the last one. The buffer begins with space for the batch's header.
   *
   * @throws UnknownOutcomeException if it is unknown whether it has been written
   * @throws IOException if it has certainly not been written completely
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

  /** Puts length and checksum into the header of a batch that goes after the last one. */
  private void writeHeader(final ByteBuffer batch) {
    final int start = batch.position();
    final int length = batch.remaining() - BATCH_HEADER_BYTES;
    final ByteBuffer content = batch.slice(start + BATCH_HEADER_BYTES, length);
    batch.putInt(start, length);
    batch.putInt(start + Integer.BYTES, checksum(content, size));
  }

  private boolean isWritten(final ByteBuffer batch) throws UnknownOutcomeException {
    try {
      final ByteBuffer found = ByteBuffer.allocate(batch.remaining());
      readFully(channel, found, size);
      return found.flip().equals(batch);
    } catch (final IOException e) {
      throw new UnknownOutcomeException(e);
    }
  }

  private int checksum(final ByteBuffer content, final long position) {
    final CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(generation).putLong(position).flip());
    crc.update(content);
    return (int) crc.getValue();
  }

  private static void writeFully(final FileChannel to, final ByteBuffer bytes, final long start)
      throws IOException {
    long position = start;
    while (bytes.hasRemaining()) {
      final int written = to.write(bytes, position);
      if (written <= 0) {
        throw new IOException("a write of " + bytes.remaining() + " bytes wrote none");
      }
      position += written;
    }
  }

  @Override
  public void close() {
    closeQuietly(channel);
  }

  private static void closeQuietly(final FileChannel channel) {
    try {
      channel.close();
    } catch (final IOException e) {
      // The system releases the descriptor whatever it reports.
      Log.event(Event.FILE_CLOSE_FAILED, "cause", e.getMessage());
    }
  }
}
