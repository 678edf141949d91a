package thistleturn.courier.runtime;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Runs tasks sequentially on its own daemon thread, outside the event loops. An exception thrown by
 * a task is logged and counted, and an {@link Error} ends the process ({@link GuardedTasks}).
 */
public final class BackgroundExecutor implements Executor {
  private final String taskName;
  private final ExecutorService executor;

  /**
   * Creates an executor whose thread starts with the first task.
   *
   * @param threadName the name of the thread
   * @param taskName the name of its tasks in the log
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
