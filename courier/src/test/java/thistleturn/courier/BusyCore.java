package thistleturn.courier;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that keeps the cores it may use busy, so that other processes get little processor
 * time.
 */
final class BusyCore {
  /** The output line that reports that the process has started. */
  static final String STARTED = "busy";

  /** The process ends after this time if the test does not stop it earlier. */
  private static final long LIFETIME_S = 120;

  private BusyCore() {}

  /** Runs busy threads; the only argument is their number. */
  public static void main(final String[] arguments) throws InterruptedException {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIFETIME_S);
    final List<Thread> threads = new ArrayList<>();
    for (int number = 0; number < Integer.parseInt(arguments[0]); number++) {
      final Thread thread = new Thread(() -> spinUntil(untilNs), "busy-" + number);
      thread.start();
      threads.add(thread);
    }
    System.out.println(STARTED);
    for (final Thread thread : threads) {
      thread.join();
    }
  }

  private static void spinUntil(final long untilNs) {
    while (System.nanoTime() < untilNs) {
      Thread.onSpinWait();
    }
  }
}
