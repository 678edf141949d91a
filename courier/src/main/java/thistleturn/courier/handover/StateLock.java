package thistleturn.courier.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * The right to write in a courier's state folder, which one process has at a time. The operating
 * system releases the lock of a process that dies, and does so before it has closed all connections
 * of that process. So each holder records itself in the locked file, and the next one can ask
 * whether the processes before it have ended ({@link EarlierProcesses}).
 */
public final class StateLock implements AutoCloseable {
  private static final String FILE_NAME = "lock";

  private final FileChannel channel;

  /** Who held the lock before, the latest last; this process too if it did. */
  private final List<ProcessIdentity> earlierHolders;

  private StateLock(final FileChannel channel, final List<ProcessIdentity> earlierHolders) {
    this.channel = channel;
    this.earlierHolders = earlierHolders;
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
            stateFolder.resolve(FILE_NAME),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    try {
      final FileLock lock = channel.tryLock();
      if (lock != null) {
        return new StateLock(channel, LockHolders.read(channel));
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

  /**
   * Records this process as the holder, before it makes its first call. If that fails, the record
   * is emptied where possible: then the next holder knows that it does not know this one.
   */
  public void recordHolder() {
    LockHolders.record(channel, earlierHolders);
  }

  /** Returns the earlier processes of a process that found the folder free. */
  public EarlierProcesses earlierProcesses() {
    return EarlierProcesses.beforeStart(earlierHolders);
  }

  /** Returns the earlier processes of one to which a process that runs has handed over. */
  public EarlierProcesses earlierProcessesAfterHandover() {
    return EarlierProcesses.beforeHandover(earlierHolders);
  }

  /** Returns the earlier processes of one that had handed over and takes the folder back. */
  public EarlierProcesses earlierProcessesAfterTakeBack() {
    return EarlierProcesses.beforeTakeBack(earlierHolders);
  }

  /** Releases the lock. */
  @Override
  public void close() throws IOException {
    channel.close();
  }
}
