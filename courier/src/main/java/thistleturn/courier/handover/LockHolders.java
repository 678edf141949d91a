package thistleturn.courier.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * The record of a state folder's holders in the locked file, a line each, the latest last. Versions
 * that do not know it leave it as it is. It is read and written by the holder of the lock alone,
 * over the channel that has the lock: the system releases a lock when its process closes any other
 * descriptor of the same file.
 */
final class LockHolders {
  /** Holders that have not ended, or of which nothing can be told: more than a few are none. */
  private static final int MAX_HOLDERS = 16;

  private static final int MAX_BYTES = 1 << 13;

  private LockHolders() {}

  /**
   * Records this process as the holder behind earlier ones, and forgets those that have ended. A
   * record that cannot be written is emptied.
   */
  static void record(final FileChannel lockedFile, final List<ProcessIdentity> earlier) {
    try {
      write(lockedFile, withCurrent(earlier));
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

  private static List<ProcessIdentity> withCurrent(final List<ProcessIdentity> earlier) {
    final List<ProcessIdentity> holders = new ArrayList<>(earlier);
    holders.removeIf(holder -> holder.isCurrent() || holder.state() == ProcessIdentity.State.ENDED);
    holders.add(ProcessIdentity.current());
    return holders.subList(Math.max(0, holders.size() - MAX_HOLDERS), holders.size());
  }

  /** Returns the recorded holders. */
  static List<ProcessIdentity> read(final FileChannel file) throws IOException {
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
        .map(ProcessIdentity::parse)
        .flatMap(Optional::stream)
        .toList();
  }

  private static void write(final FileChannel file, final List<ProcessIdentity> holders)
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
