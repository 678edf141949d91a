package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.ScriptedSuccessor;

/** Runs a {@link ScriptedSuccessor} as a process and sends it the commands of a test. */
final class SuccessorProcess implements AutoCloseable {
  private static final long DISK_BYTES = 3_000_000;

  private final Process process;
  private final OutputStream commands;
  private final BufferedReader responses;

  SuccessorProcess(final Path stateFolder) throws IOException {
    process =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                ScriptedSuccessor.class.getName(),
                stateFolder.toString(),
                Long.toString(DISK_BYTES))
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    commands = process.getOutputStream();
    responses =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  /** Runs commands one after the other, and returns once the last is done. */
  void run(final String... steps) throws IOException {
    for (final String step : steps) {
      assertEquals(ScriptedSuccessor.DONE, exchange(step), step);
    }
  }

  /** Reads the next offer, which must be of this message. */
  void readOffer(final String messageId) throws IOException {
    assertEquals(messageId, exchange("read-offer"));
  }

  /** Takes over: from then on this process decides. */
  void takeOver() throws IOException {
    run("hello", "read-snapshot", "take-folder");
  }

  private String exchange(final String command) throws IOException {
    commands.write((command + "\n").getBytes(StandardCharsets.UTF_8));
    commands.flush();
    return responses.readLine();
  }

  /** Kills the process and waits until it has exited. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    assertTrue(process.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
