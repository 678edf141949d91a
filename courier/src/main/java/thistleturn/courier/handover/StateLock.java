package thistleturn.courier.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.ProcessIdentity;

/**
 * The exclusive lock on a courier's state folder; only its holder writes there. The operating
 * system releases the lock of a process that dies, and does so before it has closed all connections
 * of that process. So each holder records itself in the locked file, and the next one can check
 * whether the processes before it have ended ({@link EarlierProcesses}).
 */
public final class StateLock implements AutoCloseable {
  private static final String FILE_NAME = "lock";

  private final FileChannel channel;

  /** The earlier holders, the latest last; includes this process if it held the lock before. */
  private final List<LockHolder> earlierHolders;

  private final long lockedUs;

  private StateLock(
      final FileChannel channel, final List<LockHolder> earlierHolders, final long lockedUs) {
    this.channel = channel;
    this.earlierHolders = earlierHolders;
    this.lockedUs = lockedUs;
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
    StateLock acquired = null;
    try {
      if (channel.tryLock() != null) {
        acquired = new StateLock(channel, LockHolders.read(channel), new Clock().nowUs());
      }
    } catch (final OverlappingFileLockException e) {
      // Another courier in this Java virtual machine holds it.
      return null;
    } finally {
      if (acquired == null) {
        channel.close();
      }
    }
    return acquired;
  }

  /**
   * Records this process as the holder, before it makes its first call. If that fails, the record
   * is emptied where possible, so that the next holder knows that this one is unrecorded.
   */
  public void recordHolder() {
    final List<LockHolder> holders = new ArrayList<>(earlierHolders);
    holders.add(new LockHolder(ProcessIdentity.current(), lockedUs));
    LockHolders.write(channel, holders);
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
