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
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInWorld;

/** Couriers as processes of their own: by the platform's line, and by the product's. */
@Tag("membership")
final class ServeTest {
  private static final long PATIENCE_S = 30;

  @TempDir private Path folder;

  /** A process with what it says. */
  private static final class Started implements AutoCloseable {
    private final Process process;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    Started(final StandInWorld world, final String... command) throws IOException {
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
      final Thread reader = new Thread(() -> out.lines().forEach(lines::add));
      reader.setDaemon(true);
      reader.start();
    }

    private boolean says(final String text) {
      return lines.stream().anyMatch(line -> line.contains(text));
    }

    @Override
    public void close() {
      process.destroyForcibly();
      process.onExit().orTimeout(PATIENCE_S, TimeUnit.SECONDS).join();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  @Test
  void thePlatformsProcessLoadsNothingOfAnySubsystem() throws Exception {
    try (StandInWorld world = new StandInWorld(folder, 1);
        Started courier = new Started(world, "-Xlog:class+load", "thistleturn.courier.Main")) {
      world.await("ready", () -> courier.says("is ready at"));
      assertTrue(courier.says("thistleturn.courier.DecisionLoop "), "classes are logged");
      for (final String room :
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
        assertFalse(courier.says(" " + room) || courier.says(room + "To"), "loaded: " + room);
      }
    }
  }

  @Test
  void aCourierWithAFileFollowsItsRegistryAndTellsOperators() throws Exception {
    try (StandInWorld world = new StandInWorld(folder, 2)) {
      final StandInEndpoint endpoint = world.endpoint(7);
      world.registry.register(StandInRegistry.endpoint("heat", "i", endpoint.port(), 7, "UP"));
      final int admin = freePort();
      final Path file = folder.resolve("t.toml");
      final String text =
          """
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
              .formatted(admin, world.registry.url());
      Files.writeString(file, text);
      try (Started courier =
          new Started(world, "thistleturn.cli.Main", "serve", "--config", file.toString())) {
        world.await("ready", () -> courier.says("is ready at") && courier.says("operators ask at"));
        world.await("its own entry", () -> courier.says("is there"));
        final String ready =
            courier.lines.stream()
                .filter(line -> line.contains("is ready at"))
                .findFirst()
                .orElseThrow();
        world.client.courier(ready.substring(ready.lastIndexOf(' ') + 1));
        world.load(100, 3000, 7);
        world.await("deliveries", () -> endpoint.calls() > 50);
        assertEquals(List.of(), world.stopLoad());
        final JsonNode member =
            new ObjectMapper().readTree(members(admin, "--json")).path("members").get(0);
        assertEquals(
            "up installers said",
            member.path("state").asText()
                + " "
                + member.path("by").asText()
                + " "
                + member.path("because").asText());
        final JsonNode lane = new ObjectMapper().readTree(asked("lanes", admin, "--json")).get(0);
        assertEquals(
            "WELL UNSURE nothing waits",
            lane.path("phase").asText()
                + " "
                + lane.path("cause").asText()
                + " "
                + lane.path("why").asText());
        assertTrue(asked("lanes", admin).contains("READ AS"));
        world.registry.status("heat", "i", "DOWN");
        world.await("the drain", () -> members(admin).contains("draining"));
        // A file that cannot be used changes nothing.
        Files.writeString(file, text.replace("100ms", "100"));
        hangUp(courier.process);
        world.await(
            "the complaint", () -> courier.says("the registries stay as they were: " + file));
        assertTrue(members(admin).contains("installers"));
        courier.process.destroy();
        assertTrue(courier.process.waitFor(PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(1, world.registry.size(), "its own entry is gone");
      }
    }
  }

  private static void hangUp(final Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private static String members(final int port, final String... more) {
    return asked("members", port, more);
  }

  private static String asked(final String what, final int port, final String... more) {
    final StringWriter out = new StringWriter();
    final List<String> args = new ArrayList<>(List.of(what, "--at", "127.0.0.1:" + port));
    args.addAll(Arrays.asList(more));
    final int code =
        Main.commandLine().setOut(new PrintWriter(out)).execute(args.toArray(String[]::new));
    assertEquals(0, code);
    return out.toString();
  }

  @Test
  void aFileThatCannotBeUsedEndsTheStart() throws Exception {
    final Path file =
        Files.writeString(folder.resolve("bad.toml"), "[membership]\nenable = true\n");
    try (StandInWorld world = new StandInWorld(folder, 3);
        Started courier =
            new Started(world, "thistleturn.cli.Main", "serve", "--config", file.toString())) {
      assertTrue(courier.process.waitFor(PATIENCE_S, TimeUnit.SECONDS));
      assertEquals(2, courier.process.exitValue());
      world.await(
          "the reason", () -> courier.says(file + ": membership.enable = true: unknown key"));
    }
  }
}
