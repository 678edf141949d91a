package thistleturn.courier;

import java.io.IOException;
import java.util.List;
import thistleturn.courier.handover.StateLock;
import thistleturn.courier.journal.Journal;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.shard.ShardJournals;

/**
 * The folder that outlasts the process: its lock, which one process at a time holds, and the
 * journals in it, which only the holder of the lock may open.
 */
final class StateFolder {
  private final CourierConfig config;

  /** Null while this process does not hold the lock. */
  private StateLock lock;

  StateFolder(final CourierConfig config) {
    this.config = config;
  }

  /**
   * Returns whether this process holds the lock now.
   *
   * @throws IOException if the folder cannot be used
   */
  boolean tryLock() throws IOException {
    lock = StateLock.tryLock(config.stateFolder());
    return lock != null;
  }

  /**
   * Returns the lock, which also records the processes that held it; this process must hold the
   * lock.
   */
  StateLock lock() {
    return lock;
  }

  /** Returns whether this process holds the lock. */
  boolean isLocked() {
    return lock != null;
  }

  /**
   * Opens the journal of each shard.
   *
   * @throws IOException if one of them cannot be opened
   */
  List<Journal> openJournals(final int shardCount) throws IOException {
    return ShardJournals.open(config.stateFolder(), config.diskBudgetBytes(), shardCount);
  }

  /** Releases the lock, if it is held, so that another process can write in the folder. */
  void unlock() {
    if (lock != null) {
      Resources.close("unlocking the folder", lock);
      lock = null;
    }
  }
}
