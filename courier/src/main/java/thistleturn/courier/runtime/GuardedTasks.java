package thistleturn.courier.runtime;

/**
 * Handles what tasks throw. Netty stores an exception of a scheduled task in a future that is never
 * read, and does not run a periodic task again after one; an executor silently replaces the thread.
 */
public final class GuardedTasks {
  private GuardedTasks() {}

  /**
   * Returns a task that logs what the given task throws and returns normally, so that it can run
   * again. An {@link Error} ends the process, as {@link Log#failure} describes.
   *
   * @param what the name of the task in the log
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
