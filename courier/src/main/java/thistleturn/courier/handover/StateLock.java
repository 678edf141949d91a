package thistleturn.courier.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The right to write in a courier's state folder, which one process has at a time. The operating
 * system releases the lock of a process that dies.
 */
public final class StateLock implements AutoCloseable {
  private static final String FILE_NAME = "lock";

  private final FileChannel channel;

  private StateLock(final FileChannel channel) {
    this.channel = channel;
  }

  /**
   * Locks a folder, which is created if it does not exist.
   *
   * @return the lock, or null if another process holds it
   * @throws IOException if the folder cannot be used
   */
  public static StateLock tryLock(final Path stateFolder) throws IOException {
    Files.createDirectories(stateFolder);
    final FileChannel channel =
        FileChannel.open(
            stateFolder.resolve(FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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

  /** Releases the lock. */
  @Override
  public void close() throws IOException {
    channel.close();
  }
}
