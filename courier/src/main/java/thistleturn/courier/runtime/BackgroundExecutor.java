package thistleturn.courier.runtime;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Runs tasks one after another on a daemon thread of its own, away from the event loops. What a
 * task throws is logged and counted, and an error ends the process ({@link GuardedTasks}).
 */
public final class BackgroundExecutor implements Executor {
  private final String taskName;
  private final ExecutorService executor;

  /**
   * The thread starts with the first task.
   *
   * @param threadName names the thread
   * @param taskName names the tasks in the log
   */
  public BackgroundExecutor(final String threadName, final String taskName) {
    this.taskName = taskName;
    this.executor =
        Executors.newSingleThreadExecutor(
            task -> {
              final Thread thread = new Thread(task, threadName);
              thread.setDaemon(true);
              return thread;
            });
  }

  @Override
  public void execute(final Runnable task) {
    executor.execute(GuardedTasks.guard(taskName, task));
  }
}
