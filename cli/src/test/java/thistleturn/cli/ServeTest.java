package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.FreePorts;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInWorld;

/** Courier processes that are started without a settings file, and with {@code serve}. */
@Tag("membership")
final class ServeTest {
  private static final long TIMEOUT_S = 30;

  @TempDir private Path folder;

  /** A process and the lines that it prints. */
  private static final class RunningProcess implements AutoCloseable {
    private final Process process;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    RunningProcess(final StandInWorld world, final String... command) throws IOException {
      final List<String> all =
          new ArrayList<>(
              List.of(
                  System.getProperty("java.home") + "/bin/java",
                  "-Xmx64m",
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  System.getProperty("java.class.path")));
      all.addAll(Arrays.asList(command));
      final ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true);
      builder.environment().putAll(world.environment(CourierFiles.Size.usual()));
      process = builder.start();
      final BufferedReader out =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      final Thread reader = new Thread(() -> collectLines(out));
      reader.setDaemon(true);
      reader.start();
    }

    private void collectLines(final BufferedReader out) {
      try {
        out.lines().forEach(lines::add);
      } catch (final UncheckedIOException expected) {
        // The stream is closed when the process is killed.
      }
    }

    private boolean hasPrinted(final String text) {
      return lines.stream().anyMatch(line -> line.contains(text));
    }

    /** The address that a courier prints once it is ready. */
    private String readyAddress() {
      final String ready =
          lines.stream().filter(line -> line.contains("is ready at")).findFirst().orElseThrow();
      return ready.substring(ready.lastIndexOf(' ') + 1);
    }

    @Override
    public void close() {
      process.destroyForcibly();
      process.onExit().orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
    }
  }

  @Test
  void processWithoutSettingsFile_loadsNoSubsystem() throws Exception {
    try (StandInWorld world = new StandInWorld(folder, 1);
        RunningProcess courier =
            new RunningProcess(world, "-Xlog:class+load", "thistleturn.courier.Main")) {
      world.await("ready", () -> courier.hasPrinted("is ready at"));
      assertTrue(courier.hasPrinted("thistleturn.courier.DecisionLoop "), "classes are logged");
      for (final String packageName :
          List.of(
              "thistleturn.eureka.",
              "thistleturn.membership.",
              "thistleturn.cli.",
              "thistleturn.testkit.",
              "thistleturn.decisions.membership.",
              "thistleturn.peers.",
              "thistleturn.decisions.peers.",
              "picocli.",
              "jackson.dataformat")) {
        assertFalse(
            courier.hasPrinted(" " + packageName) || courier.hasPrinted(packageName + "To"),
            "loaded: " + packageName);
      }
    }
  }

  @Test
  void courierWithSettingsFile_followsRegistryAndServesAdminPages() throws Exception {
    try (StandInWorld world = new StandInWorld(folder, 2)) {
      final StandInEndpoint endpoint = world.endpoint(7);
      world.registry.register(StandInRegistry.endpoint("heat", "i", endpoint.port(), 7, "UP"));
      final int admin = FreePorts.next();
      final Path file = folder.resolve("t.toml");
      final String text = settings(admin, world.registry.url());
      Files.writeString(file, text);
      try (RunningProcess courier =
          new RunningProcess(world, "thistleturn.cli.Main", "serve", "--config", file.toString())) {
        world.await(
            "ready",
            () ->
                courier.hasPrinted("is ready at")
                    && courier.hasPrinted("admin pages are served at"));
        world.await("its own instance", () -> courier.hasPrinted("is registered"));
        world.client.setCourierAddress(courier.readyAddress());
        world.startLoad(100, 3000, 7);
        world.await("deliveries", () -> endpoint.calls() > 50);
        assertEquals(List.of(), world.stopLoadAndCheck());
        assertPagesShowEndpointInUse(admin);
        world.registry.setStatus("heat", "i", "DOWN");
        world.await("the drain", () -> members(admin).contains("draining"));
        // An invalid file changes nothing.
        Files.writeString(file, text.replace("100ms", "100"));
        sendHangUp(courier.process);
        world.await(
            "the error message",
            () -> courier.hasPrinted("the registries stay as they were: " + file));
        assertTrue(members(admin).contains("installers"));
        courier.process.destroy();
        assertTrue(courier.process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(1, world.registry.size(), "its own instance is removed");
      }
    }
  }

  private static String settings(final int adminPort, final String registryUrl) {
    return """
        [admin]
        enabled = true
        listen = "127.0.0.1:%d"
        [membership]
        enabled = true
        [membership.registration]
        enabled = true
        [[membership.registries]]
        name = "installers"
        urls = ["%s"]
        period = "100ms"
        """
        .formatted(adminPort, registryUrl);
  }

  private static void assertPagesShowEndpointInUse(final int admin) throws IOException {
    final JsonNode member =
        new ObjectMapper().readTree(members(admin, "--json")).path("members").get(0);
    assertEquals("up installers said", joined(member, "state", "by", "because"));
    final JsonNode route = new ObjectMapper().readTree(run("lanes", admin, "--json")).get(0);
    assertEquals("WELL UNSURE nothing waits", joined(route, "phase", "cause", "why"));
    assertTrue(run("lanes", admin).contains("READ AS"));
  }

  private static String joined(final JsonNode object, final String... fields) {
    return Stream.of(fields)
        .map(field -> object.path(field).asText())
        .collect(Collectors.joining(" "));
  }

  private static void sendHangUp(final Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private static String members(final int port, final String... more) {
    return run("members", port, more);
  }

  private static String run(final String command, final int port, final String... more) {
    final StringWriter out = new StringWriter();
    final List<String> args = new ArrayList<>(List.of(command, "--at", "127.0.0.1:" + port));
    args.addAll(Arrays.asList(more));
    final int code =
        Main.commandLine().setOut(new PrintWriter(out)).execute(args.toArray(String[]::new));
    assertEquals(0, code);
    return out.toString();
  }

  @Test
  void invalidSettingsFile_failsTheStart() throws Exception {
    final Path file =
        Files.writeString(folder.resolve("bad.toml"), "[membership]\nenable = true\n");
    try (StandInWorld world = new StandInWorld(folder, 3);
        RunningProcess courier =
            new RunningProcess(
                world, "thistleturn.cli.Main", "serve", "--config", file.toString())) {
      assertTrue(courier.process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
      assertEquals(2, courier.process.exitValue());
      world.await(
          "the reason", () -> courier.hasPrinted(file + ": membership.enable = true: unknown key"));
    }
  }
}
