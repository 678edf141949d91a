package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Controls a {@link ScriptedCourierProcess}: each method sends a command and returns once it is
 * done.
 */
final class ScriptedCourier implements AutoCloseable {
  /** The timeout of messages, unless a test sets another. */
  static final long MESSAGE_TIMEOUT_MS = 20_000;

  private final Process process;
  private final PrintStream commands;
  private final List<String> lines = new CopyOnWriteArrayList<>();

  /** Starts the process. */
  ScriptedCourier(final Path stateFolder, final String endpointAddress) throws IOException {
    final int colon = endpointAddress.lastIndexOf(':');
    process =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                ScriptedCourierProcess.class.getName(),
                stateFolder.toString(),
                endpointAddress.substring(0, colon),
                endpointAddress.substring(colon + 1))
            .redirectErrorStream(true)
            .start();
    commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
    final BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    final Thread reader = new Thread(() -> output.lines().forEach(lines::add));
    reader.setDaemon(true);
    reader.start();
  }

  private static boolean isAnswer(final String line) {
    return line.startsWith(ScriptedCourierProcess.DONE)
        || line.startsWith(ScriptedCourierProcess.FAILED);
  }

  private List<String> answers() {
    return lines.stream().filter(ScriptedCourier::isAnswer).toList();
  }

  /** Sends a command to the process, and returns once it is done. */
  private void execute(final String command) {
    final int earlier = answers().size();
    commands.println(command);
    await("the answer to " + command, () -> answers().size() > earlier);
    final String answer = answers().get(earlier);
    assertTrue(answer.equals(ScriptedCourierProcess.DONE + command), () -> answer + "; " + lines);
  }

  /** Takes the folder's lock and opens its journal. */
  void lockFolder() {
    execute("lock");
  }

  /** Writes an accepted message to the journal. */
  void accept(final String id, final String messageClass) {
    execute("accept " + describe(id, messageClass, ScriptedCalls.DESTINATION, MESSAGE_TIMEOUT_MS));
  }

  /** Writes a message to the journal and begins a call with it. */
  void call(final String id, final String messageClass) {
    call(id, messageClass, ScriptedCalls.DESTINATION, MESSAGE_TIMEOUT_MS);
  }

  /** Writes a message for a destination to the journal and begins a call with it. */
  void call(
      final String id, final String messageClass, final long destination, final long timeoutMs) {
    execute("call " + describe(id, messageClass, destination, timeoutMs));
  }

  private static String describe(
      final String id, final String messageClass, final long destination, final long timeoutMs) {
    return id + " " + messageClass + " " + destination + " " + timeoutMs;
  }

  /** Listens for a newer courier. */
  void listen(final ScriptedCourierProcess.HandoverManner manner) {
    execute("listen " + manner);
  }

  /** Takes over from the courier that serves, with the lock and the journal. */
  void takeOver() {
    execute("take-over");
  }

  /** Closes the connection to the other courier, and changes nothing else. */
  void closeConnection() {
    execute("close-connection");
  }

  /** Releases the folder's lock, and changes nothing else. */
  void releaseLock() {
    execute("release-lock");
  }

  /** Sends the other courier a line that it cannot read. */
  void sendUnreadable(final ScriptedCourierProcess.UnreadableLine kind) {
    execute("send-unreadable " + kind);
  }

  /** Fails unless another process holds the folder's lock. */
  void assertLockedByOther() {
    execute("assert-locked-by-other");
  }

  /** Returns how often the process has printed an event. */
  long count(final String event) {
    return lines.stream().filter(line -> line.equals(ScriptedCourierProcess.EVENT + event)).count();
  }

  /** Waits until the process has printed an event this often. */
  void awaitEvent(final String event, final int times) {
    await(event, () -> count(event) >= times);
  }

  private void await(final String what, final BooleanSupplier condition) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(CourierHarness.TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < untilNs, "not in time: " + what + "; output: " + lines);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Stops the process with SIGSTOP and waits until it is stopped. */
  void stop() throws IOException, InterruptedException {
    assertEquals(
        0, new ProcessBuilder("kill", "-STOP", Long.toString(process.pid())).start().waitFor());
    await("the stop", this::isStopped);
  }

  private boolean isStopped() {
    try {
      return Files.readString(Path.of("/proc/" + process.pid() + "/stat")).contains(") T ");
    } catch (final IOException e) {
      throw new UncheckedIOException(e);
    }
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

  @Override
  public String toString() {
    return "process " + process.pid() + ": " + lines;
  }
}
