package thistleturn.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.platform.DiscoveryClient;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInPlatform;
import thistleturn.testkit.StandInWorld;

/** The contract of every {@link EndpointDirectory}. */
@Tag("membership")
final class DirectoryContractTest {
  private static final long TIMEOUT_S = 30;

  /** The implementations under test. */
  enum Kind {
    DISCOVERY,
    MERGED
  }

  @TempDir private Path folder;
  private final Clock clock = new Clock();
  private final PollTracker pollTracker = new PollTracker(clock);
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), pollTracker));
  private final EventLoop loop = group.next();
  private final Map<String, EndpointState> view = new ConcurrentHashMap<>();
  private final List<EndpointUpdate> updates = new CopyOnWriteArrayList<>();
  private StandInWorld world;
  private StandInEndpoint first;
  private StandInEndpoint second;
  private EndpointDirectory directory;

  @BeforeEach
  void createWorld() {
    world = new StandInWorld(folder, 1);
    first = world.endpoint(1);
    second = world.endpoint(2);
    world.platform.announce(first, "Ready", 10);
  }

  @AfterEach
  void closeWorld() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    world.close();
  }

  private void start(final Kind kind) throws Exception {
    final CourierConfig config = CourierConfig.read(world.environment(CourierFiles.Size.usual()));
    loop.submit(
            () -> {
              directory = new DiscoveryClient(config, loop, clock, pollTracker);
              if (kind == Kind.MERGED) {
                directory =
                    new MergedDirectory(
                        directory,
                        new ExtensionContext(config, loop, clock, () -> null, () -> null, null),
                        new MembershipSettings(MergeSettings.defaults(), List.of(), null));
              }
              directory.start(
                  (update, entries) -> {
                    updates.add(update);
                    if (update == EndpointUpdate.COMPLETE_SNAPSHOT) {
                      view.replaceAll((address, state) -> EndpointState.GONE);
                    }
                    entries.forEach(
                        entry ->
                            view.put(
                                entry.address().getHostString() + ":" + entry.address().getPort(),
                                entry.state()));
                  });
            })
        .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private void requestUpdates() throws Exception {
    loop.submit(() -> directory.requestUpdates()).get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private boolean isCurrent() {
    return loop.submit(() -> directory.isCurrent()).awaitUninterruptibly().getNow();
  }

  private void awaitState(final StandInEndpoint endpoint, final EndpointState state) {
    world.await(endpoint.name() + " " + state, () -> view.get(endpoint.address()) == state);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void startedDirectory_reportsKnownEndpointsAndIsNotCurrent(final Kind kind) throws Exception {
    start(kind);
    assertEquals(Map.of(first.address(), EndpointState.LISTED), view);
    assertFalse(isCurrent());
    requestUpdates();
    world.await("current", this::isCurrent);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void watchedDirectory_reportsChanges(final Kind kind) throws Exception {
    start(kind);
    requestUpdates();
    world.await("current", this::isCurrent);
    world.platform.announce(second, "Ready", 10);
    awaitState(second, EndpointState.LISTED);
    world.platform.announce(first, "Terminating", 10);
    awaitState(first, EndpointState.DRAINING);
    world.platform.announce(first, "Gone", 10);
    awaitState(first, EndpointState.GONE);
    world.platform.announce(first, "Ready", 10);
    awaitState(first, EndpointState.LISTED);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void brokenWatch_isReportedAndCaughtUpAfterNextRequest(final Kind kind) throws Exception {
    start(kind);
    requestUpdates();
    world.await("current", this::isCurrent);
    // The list can arrive before the watch on it is established.
    world.await("the watch", world.platform::isWatched);
    world.platform.resetWatches();
    world.await("the loss", () -> updates.contains(EndpointUpdate.UNAVAILABLE));
    assertEquals(
        EndpointState.LISTED, view.get(first.address()), "endpoints are kept while unavailable");
    world.platform.announce(first, "Terminating", 10);
    world.platform.announce(second, "Ready", 10);
    requestUpdates();
    awaitState(first, EndpointState.DRAINING);
    awaitState(second, EndpointState.LISTED);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void reloadedConfiguration_movesToNewAddress(final Kind kind) throws Exception {
    start(kind);
    requestUpdates();
    world.await("current", this::isCurrent);
    try (StandInPlatform moved = new StandInPlatform(group, world.ruleChecker, world.clock)) {
      moved.announce(second, "Ready", 10);
      final Path config = folder.resolve("config.json");
      Files.writeString(
          config, Files.readString(config).replace(world.platform.address(), moved.address()));
      final CourierConfig fresh =
          CourierConfig.read(Map.of("PROXY_CONFIG", config.toString(), "PROXY_STATE", "unused"));
      loop.submit(() -> directory.reload(fresh)).get(TIMEOUT_S, TimeUnit.SECONDS);
      awaitState(second, EndpointState.LISTED);
      awaitState(first, EndpointState.GONE);
    }
    assertTrue(updates.size() > 1);
  }
}
