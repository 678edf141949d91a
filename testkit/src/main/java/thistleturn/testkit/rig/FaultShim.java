package thistleturn.testkit.rig;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Makes system calls of one child process fail with a library for {@code LD_PRELOAD}. It is built
 * once for each Java machine from the source beside this class, which documents the rules.
 */
public final class FaultShim {
  private static final String SOURCE = "faults.c";
  private static Path library;

  private final Map<String, String> environment = new HashMap<>();

  private FaultShim(final Path folder) {
    environment.put("FAULTS_FOLDER", folder.toString());
  }

  /** Starts without rules; rules on files apply below that folder. */
  public static FaultShim forFolder(final Path folder) {
    return new FaultShim(folder.toAbsolutePath());
  }

  /** Adds a rule in the syntax of {@code faults.c}. */
  public FaultShim rule(final String rule) {
    environment.merge("FAULTS", rule, (before, more) -> before + ";" + more);
    return this;
  }

  /** Sets the seed of the rules' random choices. */
  public FaultShim seed(final long seed) {
    environment.put("FAULTS_SEED", Long.toString(seed & Integer.MAX_VALUE));
    return this;
  }

  /** Shifts the process's wall clock, from a time after its start on. */
  public FaultShim shiftWallClock(final long fromMs, final long shiftMs) {
    environment.merge("WALL_STEPS", fromMs + ":" + shiftMs, (before, more) -> before + "," + more);
    return this;
  }

  /** Returns the environment of the child: the given one with the rules. */
  public Map<String, String> environment(final Map<String, String> given) throws IOException {
    final Map<String, String> all = new HashMap<>(given);
    all.putAll(environment);
    all.put("LD_PRELOAD", library().toString());
    return all;
  }

  private static synchronized Path library() throws IOException {
    if (library == null) {
      final Path folder = Files.createTempDirectory("faults");
      final Path source = folder.resolve(SOURCE);
      try (InputStream in = FaultShim.class.getResourceAsStream(SOURCE)) {
        Files.copy(in, source);
      }
      final Path built = folder.resolve("faults.so");
      final Process compiler =
          new ProcessBuilder(
                  "cc",
                  "-shared",
                  "-fPIC",
                  "-O1",
                  "-o",
                  built.toString(),
                  source.toString(),
                  "-ldl")
              .redirectErrorStream(true)
              .start();
      final String output =
          new String(
              compiler.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
      try {
        if (compiler.waitFor() != 0) {
          throw new IOException("cc: " + output);
        }
      } catch (final InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while cc ran", e);
      }
      for (final Path file : new Path[] {built, source, folder}) {
        file.toFile().deleteOnExit();
      }
      library = built;
    }
    return library;
  }
}
