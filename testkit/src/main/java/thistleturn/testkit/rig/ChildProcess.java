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
 * One process of the program as a child of this one: what it says, and the signals that end, stop
 * and wake it. It is ended by its pid, which this test started, and by nothing else.
 */
public final class ChildProcess implements AutoCloseable {
  private static final long PATIENCE_S = 60;
  private static final String TASKSET = "/usr/bin/taskset";

  private final Process process;
  private final List<String> lines = new CopyOnWriteArrayList<>();

  private ChildProcess(final Process process) {
    this.process = process;
    final Thread reader = new Thread(this::read, "says-" + process.pid());
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a main class of this class path with the Java options of a small courier.
   *
   * @param cores the cores that it may use, as taskset takes them; empty, or where there is no
   *     taskset: all
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

  private void read() {
    try (BufferedReader out =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = out.readLine(); line != null; line = out.readLine()) {
        lines.add(line);
      }
    } catch (final IOException e) {
      lines.add("cannot be read any more: " + e.getMessage());
    }
  }

  /** Its number, as the system has it. */
  public long pid() {
    return process.pid();
  }

  /** True until it has ended. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** What it has said so far, a line each. */
  public List<String> lines() {
    return lines;
  }

  /**
   * Waits for a line under a bound that only a failure reaches; a process that ends before is a
   * failure.
   */
  public String await(final Predicate<String> wanted) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
    while (true) {
      for (final String line : lines) {
        if (wanted.test(line)) {
          return line;
        }
      }
      if (System.nanoTime() > untilNs || (!process.isAlive() && lines.stream().noneMatch(wanted))) {
        throw new AssertionError("process " + process.pid() + " never said it: " + lines);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  /** Stands still from now on, with all that it holds. */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Goes on. */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Is asked to read its configuration again. */
  public void hangUp() throws IOException {
    signal("HUP");
  }

  /** Runs on these cores alone from now on, with all its threads, as taskset takes them. */
  public void runOn(final String cores) throws IOException {
    if (process.isAlive() && Files.isExecutable(Path.of(TASKSET))) {
      run(TASKSET, "-a", "-c", "-p", cores, Long.toString(process.pid()));
    }
  }

  /** Is asked to end. */
  public void terminate() {
    process.destroy();
  }

  /** Ends at once, and is over when this returns. */
  public void kill() {
    process.destroyForcibly();
    try {
      // By this thread alone: a future's would need one of a pool whose threads may all be waiting
      // for this one.
      if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
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
