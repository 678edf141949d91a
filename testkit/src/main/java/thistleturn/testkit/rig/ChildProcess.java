package thistleturn.testkit.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;

/**
 * One process of the program as a child of this one: its output, and the signals that end, pause
 * and resume it. It is signalled only by the pid that was started here.
 */
public final class ChildProcess implements AutoCloseable {
  private static final long WAIT_S = 60;
  private static final String TASKSET = "/usr/bin/taskset";

  private final Process process;
  private final List<String> lines = new CopyOnWriteArrayList<>();

  private ChildProcess(final Process process) {
    this.process = process;
    final Thread reader = new Thread(this::readOutput, "says-" + process.pid());
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a main class of this class path with the Java options of a small courier.
   *
   * @param cores the cores that it may use, in taskset's syntax; all if empty or without taskset
   */
  public static ChildProcess java(
      final Map<String, String> environment, final String cores, final String... mainAndArguments)
      throws IOException {
    final List<String> command = new ArrayList<>();
    if (!cores.isEmpty() && Files.isExecutable(Path.of(TASKSET))) {
      command.addAll(List.of(TASKSET, "-c", cores));
    }
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-Xmx64m",
            "-Dio.netty.allocator.type=unpooled",
            "-cp",
            System.getProperty("java.class.path")));
    command.addAll(List.of(mainAndArguments));
    final ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    return new ChildProcess(builder.start());
  }

  private void readOutput() {
    try (BufferedReader out =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = out.readLine(); line != null; line = out.readLine()) {
        lines.add(line);
      }
    } catch (final IOException e) {
      lines.add("its output cannot be read any more: " + e.getMessage());
    }
  }

  /** The process id. */
  public long pid() {
    return process.pid();
  }

  /** True until the process has ended. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Its output so far, by line. */
  public List<String> lines() {
    return lines;
  }

  /**
   * Waits for a line of output, with a limit that only a failure reaches; a process that ends
   * before fails the wait.
   */
  public String await(final Predicate<String> wanted) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    while (true) {
      for (final String line : lines) {
        if (wanted.test(line)) {
          return line;
        }
      }
      if (System.nanoTime() > untilNs || (!process.isAlive() && lines.stream().noneMatch(wanted))) {
        throw new AssertionError(
            "process " + process.pid() + " did not print the expected line: " + lines);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  /** Waits until the courier is ready, and returns the address at which it accepts clients. */
  public String awaitReadyAddress() {
    final String ready = await(line -> line.contains("is ready at "));
    return ready.substring(ready.lastIndexOf(' ') + 1);
  }

  /** Pauses the process (SIGSTOP). */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Resumes the process (SIGCONT). */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Makes it reload its configuration (SIGHUP). */
  public void hangUp() throws IOException {
    signal("HUP");
  }

  /** Restricts all its threads to these cores, in taskset's syntax. */
  public void runOn(final String cores) throws IOException {
    if (process.isAlive() && Files.isExecutable(Path.of(TASKSET))) {
      run(TASKSET, "-a", "-c", "-p", cores, Long.toString(process.pid()));
    }
  }

  /** Ends it gracefully (SIGTERM). Unlike {@link Process#destroy}, leaves its output open. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Kills it, and returns once it has ended. */
  public void kill() {
    process.destroyForcibly();
    try {
      // Waits on this thread: a future would need a thread of a pool whose threads may all be
      // waiting for this one.
      if (!process.waitFor(WAIT_S, TimeUnit.SECONDS)) {
        throw new AssertionError("process " + process.pid() + " does not end");
      }
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void signal(final String name) throws IOException {
    if (process.isAlive()) {
      run("kill", "-" + name, Long.toString(process.pid()));
    }
  }

  /** Runs a command on this process, which may end meanwhile. */
  private void run(final String... command) throws IOException {
    try {
      final int status =
          new ProcessBuilder(command)
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start()
              .waitFor();
      if (status != 0 && process.isAlive()) {
        throw new IOException(String.join(" ", command) + " ended with " + status);
      }
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    kill();
  }
}
