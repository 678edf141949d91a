package thistleturn.courier.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Who may write in a courier's lasting folder: one process at a time. The system lifts the lock of
 * one that dies.
 */
public final class StateLock implements AutoCloseable {
  private static final String FILE_NAME = "lock";

  private final FileChannel channel;

  private StateLock(final FileChannel channel) {
    this.channel = channel;
  }

  /**
   * Locks a folder, which is made if there is none; null if another process holds it.
   *
   * @throws IOException if the folder cannot be used
   */
  public static StateLock tryLock(final Path folder) throws IOException {
    Files.createDirectories(folder);
    final FileChannel channel =
        FileChannel.open(
            folder.resolve(FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      final FileLock lock = channel.tryLock();
      if (lock != null) {
        return new StateLock(channel);
      }
    } catch (final OverlappingFileLockException e) {
      // Another courier of this Java machine holds it.
      channel.close();
      return null;
    } catch (final IOException e) {
      channel.close();
      throw e;
    }
    channel.close();
    return null;
  }

  /** Lets another process write. */
  @Override
  public void close() throws IOException {
    channel.close();
  }
}
