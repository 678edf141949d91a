package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.courier.runtime.Clock;

/** A start either serves, or fails and reports why. */
@Tag("decisions")
final class StartupProgressTest {
  private static final long TIMEOUT_S = 10;

  private final EventLoop eventLoop = new DefaultEventLoop();
  private final Clock clock = new Clock();
  private final StartupProgress progress = new StartupProgress(clock, eventLoop, clock.nowUs());

  @AfterEach
  void stopEventLoop() {
    eventLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private static Throwable failureOf(final CompletableFuture<String> serving) {
    return assertThrows(ExecutionException.class, () -> serving.get(TIMEOUT_S, TimeUnit.SECONDS))
        .getCause();
  }

  private static void throwUnchecked(final Throwable thrown) {
    if (thrown instanceof Error error) {
      throw error;
    }
    throw (RuntimeException) thrown;
  }

  private static Throwable thrown(final String type) {
    return "error".equals(type)
        ? new NoClassDefFoundError("thistleturn/courier/Gone")
        : new IllegalStateException("second run");
  }

  /** Guards against a start that hangs because the exception of a retried step was lost. */
  @ParameterizedTest
  @ValueSource(strings = {"exception", "error"})
  void retriedStepThrows_startFails(final String type) {
    final Throwable second = thrown(type);
    progress.logAndRetry("listen", new IOException("no socket"), () -> throwUnchecked(second));
    assertSame(second, failureOf(progress.serving()));
  }

  /** Guards against a start that hangs because the exception of a continuation was lost. */
  @ParameterizedTest
  @ValueSource(strings = {"exception", "error"})
  void continuationThrows_startFails(final String type) {
    final Throwable failure = thrown(type);
    CompletableFuture.completedFuture("bound")
        .whenCompleteAsync(
            progress.step("listen", (bound, none) -> throwUnchecked(failure)), eventLoop);
    assertSame(failure, failureOf(progress.serving()));
  }

  /** Guards against a start that hangs because its next step never began, whatever the cause. */
  @Test
  void noFurtherStepBegins_startFailsAndNamesLastStep() {
    eventLoop.execute(
        () -> {
          progress.watch(1);
          progress.run("open the journal", () -> {});
        });
    final String message = failureOf(progress.serving()).getMessage();
    assertEquals("the start has come to a halt in the step: open the journal", message);
  }
}
