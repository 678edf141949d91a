package thistleturn.courier.runtime;

/**
 * Tasks of an event loop that throw. Netty keeps what a scheduled task throws in its future, where
 * nobody looks, and runs a repeated one never again.
 */
public final class GuardedTasks {
  private GuardedTasks() {}

  /** The same task; what it throws is told in the log, and it may run again. */
  public static Runnable guard(final String what, final Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (final RuntimeException e) {
        Log.failure(what, e);
      }
    };
  }
}
