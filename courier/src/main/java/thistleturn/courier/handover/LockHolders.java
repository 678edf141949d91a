package thistleturn.courier.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * The record of a state folder's holders in the locked file, one per line, the latest last.
 * Versions without this record leave it unchanged. Only the holder of the lock reads and writes it,
 * over the channel that has the lock: the system releases a lock when its process closes any other
 * descriptor of the same file.
 */
final class LockHolders {
  /** No call is in flight for so long that more than this number of holders follow its own. */
  private static final int MAX_HOLDERS = 16;

  private static final int MAX_BYTES = 1 << 13;

  private LockHolders() {}

  /** Writes the latest of these holders. A record that cannot be written is emptied. */
  static void write(final FileChannel lockedFile, final List<LockHolder> holders) {
    try {
      writeAll(
          lockedFile, holders.subList(Math.max(0, holders.size() - MAX_HOLDERS), holders.size()));
    } catch (final IOException e) {
      Log.event(Event.HOLDER_UNRECORDED, "cause", e);
      empty(lockedFile);
    }
  }

  private static void empty(final FileChannel lockedFile) {
    try {
      lockedFile.truncate(0);
    } catch (final IOException e) {
      Log.event(Event.HOLDER_UNRECORDED, "cause", e);
    }
  }

  /** Returns the recorded holders. */
  static List<LockHolder> read(final FileChannel file) throws IOException {
    final ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(MAX_BYTES, file.size()));
    int read = 0;
    while (bytes.hasRemaining() && read >= 0) {
      read = file.read(bytes, bytes.position());
    }
    bytes.flip();
    return StandardCharsets.UTF_8
        .decode(bytes)
        .toString()
        .lines()
        .map(LockHolder::parse)
        .flatMap(Optional::stream)
        .toList();
  }

  private static void writeAll(final FileChannel file, final List<LockHolder> holders)
      throws IOException {
    final StringBuilder text = new StringBuilder();
    holders.forEach(holder -> text.append(holder.toText()).append('\n'));
    final ByteBuffer bytes = ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8));
    while (bytes.hasRemaining()) {
      file.write(bytes, bytes.position());
    }
    file.truncate(bytes.limit());
  }
}
