package thistleturn.courier.runtime;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * A group of one event loop that logs and counts every exception thrown by a task, and ends the
 * process on an {@link Error}. If the loop itself ended with an error, the process would otherwise
 * keep running without serving anyone.
 */
public final class GuardedEventLoopGroup extends MultiThreadIoEventLoopGroup {
  private static final String TASK = "a task of the event loop";
  private static final String LOOP = "the event loop";

  /** Creates the group with its loop, which starts with its first task. */
  public GuardedEventLoopGroup(final IoHandlerFactory ioHandlerFactory) {
    super(1, ioHandlerFactory);
  }

  @Override
  protected IoEventLoop newChild(
      final Executor executor,
      final IoHandlerFactory ioHandlerFactory,
      final Object... otherArguments) {
    return new GuardedEventLoop(this, executor, ioHandlerFactory);
  }

  /** The event loop; the executor provides its thread. */
  private static final class GuardedEventLoop extends SingleThreadIoEventLoop {
    private GuardedEventLoop(
        final IoEventLoopGroup parent,
        final Executor executor,
        final IoHandlerFactory ioHandlerFactory) {
      super(parent, executor, ioHandlerFactory);
    }

    @Override
    protected void run() {
      try {
        super.run();
      } catch (final RuntimeException | Error e) {
        Log.failure(LOOP, e);
        throw e;
      }
    }

    @Override
    public void execute(final Runnable task) {
      super.execute(GuardedTasks.guard(TASK, task));
    }

    @Override
    public ScheduledFuture<?> schedule(final Runnable task, final long delay, final TimeUnit unit) {
      return super.schedule(GuardedTasks.guard(TASK, task), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
        final Runnable task, final long initialDelay, final long delay, final TimeUnit unit) {
      return super.scheduleWithFixedDelay(
          GuardedTasks.guard(TASK, task), initialDelay, delay, unit);
    }
  }
}
