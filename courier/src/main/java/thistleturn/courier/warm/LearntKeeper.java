package thistleturn.courier.warm;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import thistleturn.courier.handover.Inheritance;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Log;

/**
 * Puts down what was learnt, away from the event loop: the loop hands over what is to be written, a
 * thread of its own makes the text and the file. What comes while it writes takes the place of what
 * waits, so that a slow disk costs freshness, never memory or time.
 */
public final class LearntKeeper {
  private static final ExecutorService WRITER =
      Executors.newSingleThreadExecutor(
          task -> {
            final Thread thread = new Thread(task, "learnt");
            thread.setDaemon(true);
            return thread;
          });

  private record Taken(Inheritance learnt, long nowUs) {}

  private final LearntFile file;
  private final Clock clock;
  private final AtomicReference<Taken> waiting = new AtomicReference<>();
  private final AtomicBoolean told = new AtomicBoolean();

  /** One that writes to a file. */
  public LearntKeeper(final LearntFile file, final Clock clock) {
    this.file = file;
    this.clock = clock;
  }

  /** To be written soon. */
  public void keep(final Inheritance learnt) {
    if (waiting.getAndSet(new Taken(learnt, clock.nowUs())) == null) {
      WRITER.execute(this::write);
    }
  }

  private void write() {
    final Taken taken = waiting.getAndSet(null);
    try {
      final byte[] bytes = file.bytes(taken.learnt(), taken.nowUs());
      if (bytes != null) {
        file.write(bytes);
        told.set(false);
      } else if (!told.getAndSet(true)) {
        Log.info("what was learnt is not kept: more than " + file.mostBytes() + " bytes");
      }
    } catch (final IOException e) {
      if (!told.getAndSet(true)) {
        Log.info("what was learnt is not kept: " + e);
      }
    }
  }
}
