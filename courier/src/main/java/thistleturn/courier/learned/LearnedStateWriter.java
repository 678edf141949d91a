package thistleturn.courier.learned;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.runtime.BackgroundExecutor;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Log;

/**
 * Writes the learned state outside the event loop: the loop passes a snapshot, and a thread that
 * all writers share encodes and writes it. A snapshot that arrives during a write replaces the one
 * that waits, so a slow disk makes the stored state older, but costs neither memory nor time on the
 * loop.
 */
public final class LearnedStateWriter {
  private static final BackgroundExecutor WRITER_THREAD =
      new BackgroundExecutor("learnt", "write learned state");

  private record PendingWrite(HandoverSnapshot snapshot, long capturedUs) {}

  private final LearnedStateFile file;
  private final Clock clock;
  private final AtomicReference<PendingWrite> pendingWrite = new AtomicReference<>();

  /**
   * True if the last write failed and that was logged: failures are logged again after a success
   * only.
   */
  private final AtomicBoolean failureLogged = new AtomicBoolean();

  /** Creates a writer of one file. */
  public LearnedStateWriter(final LearnedStateFile file, final Clock clock) {
    this.file = file;
    this.clock = clock;
  }

  /** Schedules a snapshot to be written. */
  public void save(final HandoverSnapshot snapshot) {
    final PendingWrite replaced = pendingWrite.getAndSet(new PendingWrite(snapshot, clock.nowUs()));
    if (replaced == null) {
      WRITER_THREAD.execute(this::writePending);
    }
  }

  private void writePending() {
    final PendingWrite pending = pendingWrite.getAndSet(null);
    try {
      final byte[] bytes = file.encode(pending.snapshot(), pending.capturedUs());
      if (bytes == null) {
        logFailure("more than " + file.maxBytes() + " bytes");
        return;
      }
      file.replace(bytes);
      failureLogged.set(false);
    } catch (final IOException e) {
      logFailure(e.toString());
    }
  }

  private void logFailure(final String reason) {
    if (!failureLogged.getAndSet(true)) {
      Log.info("what was learnt is not kept: " + reason);
    }
  }
}
