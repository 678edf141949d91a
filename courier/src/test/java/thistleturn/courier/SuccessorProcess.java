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

/** A {@link ScriptedSuccessor} in its process, as the test commands it. */
final class SuccessorProcess implements AutoCloseable {
  private static final long DISK_BYTES = 3_000_000;

  private final Process process;
  private final OutputStream commands;
  private final BufferedReader answers;

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
    answers =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  /** Has it carry out these commands, one after the other, and returns once the last is done. */
  void run(final String... steps) throws IOException {
    for (final String step : steps) {
      assertEquals(ScriptedSuccessor.DONE, answerTo(step), step);
    }
  }

  /** Has it read the next offer, which must be of this message. */
  void readOffer(final String messageId) throws IOException {
    assertEquals(messageId, answerTo("read-offer"));
  }

  /** Has it take over: from here on it decides. */
  void takeOver() throws IOException {
    run("hello", "read-snapshot", "take-folder");
  }

  private String answerTo(final String command) throws IOException {
    commands.write((command + "\n").getBytes(StandardCharsets.UTF_8));
    commands.flush();
    return answers.readLine();
  }

  /** Kills it, and returns once it is gone. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    assertTrue(process.waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
