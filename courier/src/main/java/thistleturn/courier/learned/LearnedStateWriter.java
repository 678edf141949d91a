package thistleturn.courier.learned;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Log;

/**
 * Puts down what was learnt, away from the event loop: the loop hands over what is to be written, a
 * thread of its own makes the text and the file. What comes while it writes takes the place of what
 * waits, so that a slow disk costs freshness, never memory or time.
 */
public final class LearnedStateWriter {
  private static final ExecutorService WRITER_THREAD =
      Executors.newSingleThreadExecutor(
          task -> {
            final Thread thread = new Thread(task, "learnt");
            thread.setDaemon(true);
            return thread;
          });

  private record PendingWrite(HandoverSnapshot snapshot, long capturedUs) {}

  private final LearnedStateFile file;
  private final Clock clock;
  private final AtomicReference<PendingWrite> pendingWrite = new AtomicReference<>();
  private final AtomicBoolean failureLogged = new AtomicBoolean();

  /** One that writes to a file. */
  public LearnedStateWriter(final LearnedStateFile file, final Clock clock) {
    this.file = file;
    this.clock = clock;
  }

  /** To be written soon. */
  public void save(final HandoverSnapshot learnt) {
    if (pendingWrite.getAndSet(new PendingWrite(learnt, clock.nowUs())) == null) {
      WRITER_THREAD.execute(this::writePending);
    }
  }

  private void writePending() {
    final PendingWrite taken = pendingWrite.getAndSet(null);
    try {
      final byte[] bytes = file.encode(taken.snapshot(), taken.capturedUs());
      if (bytes != null) {
        file.replace(bytes);
        failureLogged.set(false);
      } else if (!failureLogged.getAndSet(true)) {
        Log.info("what was learnt is not kept: more than " + file.maxBytes() + " bytes");
      }
    } catch (final IOException e) {
      if (!failureLogged.getAndSet(true)) {
        Log.info("what was learnt is not kept: " + e);
      }
    }
  }
}
