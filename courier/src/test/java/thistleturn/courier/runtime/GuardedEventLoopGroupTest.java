package thistleturn.courier.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Exceptions thrown by tasks of an event loop are always logged. */
@Tag("decisions")
final class GuardedEventLoopGroupTest {
  private static final long TIMEOUT_S = 20;
  private static final int FATAL_STATUS = 70;

  /** Guards against an error that is dropped, which leaves a process running without its loop. */
  @ParameterizedTest
  @ValueSource(strings = {"execute", "schedule", "periodic"})
  void taskThrowsError_processLogsItAndExits(final String submission)
      throws IOException, InterruptedException {
    final Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                ThrowingProgram.class.getName(),
                submission)
            .redirectErrorStream(true)
            .start();
    try {
      assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process is still running");
      assertEquals(FATAL_STATUS, process.exitValue());
      final String output =
          new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(output.contains("event=failure") && output.contains("GoneClass"), output);
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void periodicTaskThrowsException_runsAgain() throws InterruptedException {
    final GuardedEventLoopGroup group = new GuardedEventLoopGroup(NioIoHandler.newFactory());
    try {
      final CountDownLatch runs = new CountDownLatch(3);
      group
          .next()
          .scheduleWithFixedDelay(
              () -> {
                runs.countDown();
                throw new IllegalStateException("each time");
              },
              0,
              1,
              TimeUnit.MILLISECONDS);
      assertTrue(runs.await(TIMEOUT_S, TimeUnit.SECONDS));
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
  }

  /**
   * A program whose event loop runs a task that throws an error; it would keep running otherwise.
   */
  static final class ThrowingProgram {
    private ThrowingProgram() {}

    /** The argument is the way in which the task is submitted. */
    public static void main(final String[] arguments) {
      final EventLoop loop = new GuardedEventLoopGroup(NioIoHandler.newFactory()).next();
      final Runnable task =
          () -> {
            throw new NoClassDefFoundError("GoneClass");
          };
      switch (arguments[0]) {
        case "execute" -> loop.execute(task);
        case "schedule" -> loop.schedule(task, 1, TimeUnit.MILLISECONDS);
        case "periodic" -> loop.scheduleWithFixedDelay(task, 1, 1, TimeUnit.MILLISECONDS);
        default -> throw new IllegalArgumentException(arguments[0]);
      }
    }
  }
}
