package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.handover.StateLock;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.ChildProcess;
import thistleturn.testkit.rig.FaultShim;

/**
 * A start that fails at any of its steps reports why in one line, and releases what the steps
 * before it opened.
 */
@Tag("decisions")
final class StartupFailureTest {
  private static final long TIMEOUT_S = 20;

  @TempDir private Path folder;
  private StandInWorld world;
  private Map<String, String> environment;

  @BeforeEach
  void createWorld() throws IOException {
    world = new StandInWorld(folder, 3);
    world.platform.announce(world.endpoint(1), "Ready", 1000);
    environment = new HashMap<>(world.environment(CourierFiles.Size.usual()));
  }

  @AfterEach
  void closeWorld() {
    world.close();
  }

  private String startAndGetFailure(final CourierExtension extension) {
    try {
      final CourierServer server = CourierServer.start(environment, extension);
      final ExecutionException failure =
          assertThrows(
              ExecutionException.class, () -> server.ready().get(TIMEOUT_S, TimeUnit.SECONDS));
      assertTrue(server.eventLoop().isTerminated(), "its loop has ended");
      return String.valueOf(failure.getCause().getMessage());
    } catch (final IOException | ConfigurationException e) {
      return e.getMessage();
    }
  }

  /** Checks that a start on the same folder succeeds once the cause of the failure is removed. */
  private void assertStartsAndReleasesFolder() throws Exception {
    final CourierServer server = CourierServer.start(environment);
    world.client.setCourierAddress(server.ready().get(TIMEOUT_S, TimeUnit.SECONDS));
    server.kill();
    try (StateLock lock = StateLock.tryLock(folder.resolve("state"))) {
      assertTrue(lock != null, "the folder is free");
    }
  }

  @Test
  void folderLockedByAnotherCourier_startFails() throws Exception {
    try (StateLock otherLock = StateLock.tryLock(folder.resolve("state"))) {
      assertTrue(otherLock != null);
      assertTrue(startAndGetFailure(null).contains("another courier"));
    }
    assertStartsAndReleasesFolder();
  }

  @Test
  void journalCannotBeOpened_startFails() throws Exception {
    Files.createDirectories(folder.resolve("state").resolve("journal"));
    startAndGetFailure(null);
    Files.delete(folder.resolve("state").resolve("journal"));
    assertStartsAndReleasesFolder();
  }

  @Test
  void disabledEndpointsCannotBeRead_startFails() throws Exception {
    Files.createDirectories(folder.resolve("state").resolve("maintenance"));
    environment.put("PROXY_OPERATOR", "127.0.0.1:0");
    startAndGetFailure(null);
    Files.delete(folder.resolve("state").resolve("maintenance"));
    assertStartsAndReleasesFolder();
  }

  @Test
  void operatorAddressInUse_startFails() throws Exception {
    try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      environment.put("PROXY_OPERATOR", "127.0.0.1:" + occupied.getLocalPort());
      assertTrue(startAndGetFailure(null).contains("cannot listen on operator"));
    }
    environment.remove("PROXY_OPERATOR");
    assertStartsAndReleasesFolder();
  }

  @Test
  void extensionThrows_startFails() throws Exception {
    assertEquals("no registry", startAndGetFailure(new FailingExtension()));
    assertStartsAndReleasesFolder();
  }

  @Test
  void clientAddressInUse_startFails() throws Exception {
    try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      environment.put("PROXY_LISTEN", "127.0.0.1:" + occupied.getLocalPort());
      assertTrue(startAndGetFailure(null).contains("cannot listen on"));
    }
    environment.remove("PROXY_LISTEN");
    assertStartsAndReleasesFolder();
  }

  /** Guards against a lost error that leaves a process running without ever being ready. */
  @Test
  void classesGoneDuringRetries_processEndsWithItsReason() throws Exception {
    final Path classes = copyCourierClasses();
    final FaultShim faults =
        FaultShim.forFolder(folder.resolve("state")).rule("socket,errno=23,for=4000");
    final String classPath = classes + File.pathSeparator + classPathWithoutCourier();
    try (ChildProcess courier =
        ChildProcess.java(
            faults.environment(environment), "", "-cp", classPath, "thistleturn.courier.Main")) {
      courier.await(line -> line.contains("event=start_retried") && line.contains("step=listen"));
      delete(classes);
      courier.await(line -> line.startsWith("cannot start: "));
      world.await("the end of the process", () -> !courier.isAlive());
    }
  }

  private static Path courierClasses() throws URISyntaxException {
    return Path.of(CourierServer.class.getProtectionDomain().getCodeSource().getLocation().toURI());
  }

  private Path copyCourierClasses() throws IOException, URISyntaxException {
    final Path from = courierClasses();
    final Path to = folder.resolve("classes");
    try (Stream<Path> files = Files.walk(from)) {
      for (final Path file : files.toList()) {
        Files.copy(file, to.resolve(from.relativize(file).toString()));
      }
    }
    return to;
  }

  private static String classPathWithoutCourier() throws URISyntaxException {
    final String own = courierClasses().toString();
    return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(entry -> !Path.of(entry).toString().equals(own))
        .collect(Collectors.joining(File.pathSeparator));
  }

  private static void delete(final Path tree) throws IOException {
    try (Stream<Path> files = Files.walk(tree)) {
      for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  /** An extension whose directory cannot be created. */
  private static final class FailingExtension implements CourierExtension {
    @Override
    public EndpointDirectory createDirectory(
        final EndpointDirectory platformDirectory, final ExtensionContext context) {
      throw new IllegalStateException("no registry");
    }

    @Override
    public void onServing(final String address) {
      throw new AssertionError("the courier is not ready");
    }

    @Override
    public void onShutdownStarted() {
      throw new AssertionError("the extension was never started");
    }

    @Override
    public boolean tryFinishShutdown() {
      return true;
    }

    @Override
    public void onConfigurationReload() {
      throw new AssertionError("no reload was requested");
    }
  }
}
