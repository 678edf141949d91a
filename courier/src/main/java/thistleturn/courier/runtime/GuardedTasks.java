package thistleturn.courier.runtime;

/**
 * Makes tasks safe to throw. Netty keeps what a scheduled task throws in a future that nobody
 * reads, and never runs a periodic one again; an executor replaces its thread without a word.
 */
public final class GuardedTasks {
  private GuardedTasks() {}

  /**
   * Returns a task that logs what the given one throws, and can run again. An error ends the
   * process, as {@link Log#failure} says.
   *
   * @param what names the task in the log
   */
  public static Runnable guard(final String what, final Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (final RuntimeException | Error e) {
        Log.failure(what, e);
      }
    };
  }
}
