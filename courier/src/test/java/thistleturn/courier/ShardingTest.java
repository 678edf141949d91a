package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.shard.ShardJournals;
import thistleturn.decisions.shards.ShardPlacement;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInEndpoint;
import thistleturn.testkit.StandInEndpoint.Action;
import thistleturn.testkit.StandInEndpoint.Behavior;
import thistleturn.testkit.StandInWorld;

/**
 * A courier of several shards obeys the six delivery rules as a courier of one shard does, also
 * after a change of the number of shards.
 */
@Tag("scale")
final class ShardingTest {
  private static final long[] DESTINATIONS = LongStream.rangeClosed(1, 12).toArray();
  private static final long TIMEOUT_MS = 6000;

  @TempDir private Path folder;
  private StandInWorld world;
  private final List<StandInEndpoint> endpoints = new ArrayList<>();
  private CourierServer courier;

  @BeforeEach
  void createWorld() {
    world = new StandInWorld(folder, 7);
    for (final long destination : DESTINATIONS) {
      final StandInEndpoint endpoint = world.endpoint(destination);
      endpoint.setBehavior(Behavior.deliverAfter(3));
      endpoints.add(endpoint);
      world.platform.announce(endpoint, "Ready", 500);
    }
  }

  @AfterEach
  void stopCourierAndWorld() {
    courier.kill();
    world.close();
  }

  private void start(final int shards) throws IOException, ConfigurationException {
    final CourierOptions platform = CourierOptions.platformDefaults();
    courier =
        CourierServer.start(
            world.environment(CourierFiles.Size.usual()),
            null,
            new CourierOptions(
                platform.clientIdleTimeoutUs(),
                platform.clientDescriptorShare(),
                platform.endpointDescriptorShare(),
                shards,
                true));
    world.client.setCourierAddress(courier.ready().orTimeout(30, TimeUnit.SECONDS).join());
  }

  private void restart(final int shards) throws IOException, ConfigurationException {
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    courier.kill();
    world.resetConnections();
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    start(shards);
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
  }

  private void awaitCalls(final long additional) {
    final long from = calls();
    world.await("calls", () -> calls() >= from + additional);
  }

  private long calls() {
    return endpoints.stream().mapToLong(StandInEndpoint::calls).sum();
  }

  @Test
  void killsAndChangesOfShardCount_rulesHold() throws Exception {
    start(1);
    world.startLoad(250, TIMEOUT_MS, DESTINATIONS);
    for (final int shards : new int[] {8, 3, 8, 1, 4}) {
      awaitCalls(120);
      restart(shards);
    }
    awaitCalls(200);
    assertEquals(List.of(), world.stopLoadAndCheck());
    assertTrue(
        world.ruleChecker.outcomeCounts().getOrDefault("delivered", 0) > 500,
        world.ruleChecker.outcomeCounts().toString());
  }

  /** One event loop is blocked: the other shards' destinations are served, and nothing is lost. */
  @Test
  void stalledShard_delaysOnlyItsOwnDestinations() throws Exception {
    start(3);
    world.startLoad(150, TIMEOUT_MS, DESTINATIONS);
    awaitCalls(100);
    // The client's connections are spread over all loops: the blocked one serves only some of them.
    final long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(250);
    courier
        .eventLoop()
        .execute(
            () -> {
              while (System.nanoTime() < untilNs) {
                Thread.onSpinWait();
              }
            });
    awaitCalls(100);
    assertEquals(List.of(), world.stopLoadAndCheck());
  }

  @Test
  void drainingEndpoints_getNoCallsFromAnyShard() throws Exception {
    start(4);
    final List<StandInEndpoint> others = new ArrayList<>();
    for (final long destination : DESTINATIONS) {
      final StandInEndpoint other = world.endpoint(destination);
      other.setBehavior(Behavior.deliverAfter(3));
      others.add(other);
      world.platform.announce(other, "Ready", 500);
    }
    world.startLoad(200, TIMEOUT_MS, DESTINATIONS);
    awaitCalls(150);
    for (final StandInEndpoint endpoint : endpoints) {
      world.platform.announce(endpoint, "Terminating", 500);
      world.ruleChecker.recordDraining(world.clock.nowUs(), endpoint.name());
    }
    final long from = others.stream().mapToLong(StandInEndpoint::calls).sum();
    world.await(
        "calls to the other endpoints",
        () -> others.stream().mapToLong(StandInEndpoint::calls).sum() > from + 500);
    assertEquals(List.of(), world.stopLoadAndCheck());
  }

  /** Unresponsive destinations on one shard: their messages end in time, others are delivered. */
  @Test
  void unresponsiveDestinationsOnOneShard_othersAreDelivered() throws Exception {
    start(4);
    for (int index = 0; index < endpoints.size(); index++) {
      if (ShardPlacement.shardOf(DESTINATIONS[index], 4) == 0) {
        endpoints.get(index).setBehavior(Behavior.of(Action.NO_ANSWER));
      }
    }
    world.startLoad(200, 2000, DESTINATIONS);
    awaitCalls(300);
    assertEquals(List.of(), world.stopLoadAndCheck());
  }

  /** After a kill during a migration, exactly the layout that the marker names is valid. */
  @Test
  void interruptedMigration_leftoversAreDeletedAndIgnored() throws Exception {
    start(3);
    courier.kill();
    final Path state = folder.resolve("state");
    assertTrue(Files.exists(state.resolve("shards-3")));
    assertFalse(Files.exists(state.resolve("journal")));
    // A partial migration to 8 and a new marker file, as a kill before the commit leaves them.
    Files.createDirectories(state.resolve("shards-8/0"));
    Files.write(state.resolve("shards-8/0/journal"), new byte[] {1, 2, 3});
    Files.writeString(state.resolve("shards.next"), "8\n");
    ShardJournals.open(state, 1_000_000, 3)
        .forEach(journal -> assertTrue(journal.pendingMessages().isEmpty()));
    assertFalse(Files.exists(state.resolve("shards-8")));
    // A kill after the commit, before the old journals were deleted.
    Files.createDirectories(state.resolve("shards-8/0"));
    Files.writeString(state.resolve("shards"), "8\n");
    ShardJournals.open(state, 1_000_000, 8);
    assertFalse(Files.exists(state.resolve("shards-3")));
    start(1);
    assertTrue(Files.exists(state.resolve("journal")));
  }
}
