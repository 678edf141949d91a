package thistleturn.lab.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationSettings;
import thistleturn.testkit.rig.Schedule;

/** Difficult cases of replication, each as a schedule of faults in virtual time. */
@Tag("replicas")
final class VirtualReplicasTest {
  private static final long SECOND = 1_000_000;
  private static final long SETTLE_MS = 10_000;

  private static VirtualReplicas world(final String schedule) {
    return new VirtualReplicas(Schedule.parse(schedule), ReplicationSettings.defaults());
  }

  private static void writeDisableEntry(
      final VirtualReplicas world,
      final int number,
      final String endpoint,
      final boolean disabled) {
    final VirtualReplicas.Courier courier = world.courier(number);
    courier.replicas().setEndpointDisabled(endpoint, disabled, "o" + number, courier.nowUs());
  }

  private static String state(
      final VirtualReplicas world, final int number, final String endpoint) {
    return world.courier(number).replicas().mergedValue(EntryType.MAINTENANCE, endpoint).state();
  }

  private static void assertSettles(final VirtualReplicas world) {
    assertTrue(world.settle(SETTLE_MS) >= 0, () -> "replicas differ: " + world.checksums());
  }

  @Test
  void disableEntry_reachesAllWithinOneSecondAtFivePercentLoss() {
    final VirtualReplicas world =
        world(
            """
                members 8
                seed 3
                end 40s
                at 0s loss 0.05
                """);
    for (int number = 0; number < 100; number++) {
      final int one = number;
      world.at(2000 + number * 200L, () -> writeDisableEntry(world, one % 8, "e" + one, true));
    }
    world.play();
    final List<Long> times = new ArrayList<>();
    for (int number = 0; number < 100; number++) {
      for (final VirtualReplicas.Courier courier : world.running()) {
        times.add(courier.disabledAtMs("e" + number) - 2000 - number * 200L);
      }
    }
    times.sort(null);
    assertTrue(times.get(0) >= 0);
    assertTrue(
        times.get(times.size() * 99 / 100) < 1000,
        "p99 " + times.get(times.size() * 99 / 100) + " ms");
    assertSettles(world);
  }

  @Test
  void conflictingEntriesOfPartition_areMergedAndReported() {
    final VirtualReplicas world =
        world(
            """
                members 9
                seed 4
                end 30s
                at 2s cut 0,1,2 <-> 3,4,5,6,7,8 for 8s
                at 2s cut 3,4,5 <-> 6,7,8 for 14s
                """);
    world.at(1000, () -> writeDisableEntry(world, 0, "e", true));
    world.at(4000, () -> writeDisableEntry(world, 1, "e", false));
    world.at(4100, () -> writeDisableEntry(world, 4, "e", true));
    world.at(
        5000,
        () -> {
          assertEquals("may serve", state(world, 2, "e"));
          assertEquals("left out", state(world, 5, "e"));
        });
    world.at(
        25_000,
        () -> {
          // Neither writer knew of the other's entry: the conflict is reported, and the endpoint
          // stays
          // disabled until an entry is written that supersedes both.
          assertTrue(
              world.running().stream()
                  .allMatch(
                      courier ->
                          courier.replicas().mergedValue(EntryType.MAINTENANCE, "e").conflict()));
          writeDisableEntry(world, 7, "e", false);
        });
    world.play();
    assertSettles(world);
    assertTrue(
        world.running().stream()
            .allMatch(courier -> state(world, courier.number(), "e").equals("may serve")));
  }

  @Test
  void lossDelayAndDuplication_replicasBecomeEqual() {
    final VirtualReplicas world =
        world(
            """
                members 6
                seed 5
                end 40s
                at 0s loss 0.2
                at 0s delay 2000
                at 0s double 0.2
                """);
    for (int number = 0; number < 30; number++) {
      final int one = number;
      world.at(
          1000 + number * 300L,
          () -> writeDisableEntry(world, one % 6, "e" + one % 7, one % 3 > 0));
    }
    world.play();
    assertSettles(world);
  }

  @Test
  void oneDirectionalCut_isBypassed() {
    final VirtualReplicas world =
        world(
            """
                members 4
                seed 6
                end 6s
                at 0s cut 0 -> 3 for 60s
                """);
    world.at(2000, () -> writeDisableEntry(world, 0, "e", true));
    world.play();
    assertEquals("left out", state(world, 3, "e"));
    assertTrue(
        world.courier(3).disabledAtMs("e") < 4000,
        "received it at " + world.courier(3).disabledAtMs("e"));
  }

  /** A courier is paused for a minute; entries that expired meanwhile do not take effect. */
  @Test
  void pauseOfOneMinute_catchesUp() {
    final VirtualReplicas world =
        world(
            """
                members 5
                seed 7
                end 80s
                at 3s pause 2 for 60s
                """);
    world.at(
        2990,
        () -> {
          writeDisableEntry(world, 0, "e", true);
          final VirtualReplicas.Courier courier = world.courier(0);
          courier.replicas().recordWait("7", courier.nowUs() + 5 * SECOND, courier.nowUs());
        });
    world.at(30_000, () -> writeDisableEntry(world, 1, "e", false));
    world.at(
        63_500,
        () -> {
          assertEquals("may serve", state(world, 2, "e"));
        });
    world.play();
    assertSettles(world);
    assertEquals("nothing", world.courier(2).replicas().mergedValue(EntryType.WAIT, "7").state());
  }

  @Test
  void restartFromOldOrNoSnapshot_recoversState() {
    final VirtualReplicas world =
        world(
            """
                members 5
                seed 8
                end 60s
                at 5s kill 1,2
                at 20s start 1,2
                """);
    world.at(1000, () -> writeDisableEntry(world, 1, "old", true));
    world.at(4900, () -> writeDisableEntry(world, 1, "fresh", true));
    world.at(8000, () -> writeDisableEntry(world, 0, "old", false));
    world.at(10_000, () -> world.wipe(2));
    world.at(21_000, () -> writeDisableEntry(world, 1, "again", true));
    world.play();
    assertSettles(world);
    for (final VirtualReplicas.Courier courier : world.running()) {
      assertEquals(
          "may serve",
          state(world, courier.number(), "old"),
          "the superseded entry does not return");
      assertEquals(
          "left out",
          state(world, courier.number(), "fresh"),
          "written just before the kill, and received by others");
      assertEquals("left out", state(world, courier.number(), "again"));
    }
    assertEquals(List.of(), world.eventLines());
  }

  /** A courier receives a hundred thousand entries while the others keep writing. */
  @Test
  void wipedCourier_catchesUpWithHundredThousandEntries() {
    final VirtualReplicas world =
        world(
            """
                members 5
                seed 9
                end 60s
                at 8s kill 4
                at 10s start 4
                """);
    world.at(
        1000,
        () -> {
          for (int number = 0; number < 100_000; number++) {
            final VirtualReplicas.Courier courier = world.courier(number % 4);
            courier.replicas().recordListVersion("s" + number, number, courier.nowUs());
          }
        });
    world.at(9000, () -> world.wipe(4));
    final long[] equalMs = {-1};
    for (long ms = 10_100; ms < 59_000; ms += 100) {
      final long at = ms;
      world.at(
          ms,
          () -> {
            if (equalMs[0] < 0 && world.courier(4).replicas().entryCount() >= 100_000) {
              equalMs[0] = at - 10_000;
            }
          });
    }
    for (int number = 0; number < 10; number++) {
      final int one = number;
      world.at(11_000 + number * 1000L, () -> writeDisableEntry(world, 0, "e" + one, true));
    }
    world.play();
    assertSettles(world);
    assertTrue(equalMs[0] > 0 && equalMs[0] < 40_000, "caught up after " + equalMs[0] + " ms");
    for (int number = 0; number < 10; number++) {
      final long tookMs = world.courier(4).disabledAtMs("e" + number) - 11_000 - number * 1000L;
      assertTrue(
          tookMs >= 0 && tookMs < 1000, "new entries arrive meanwhile: after " + tookMs + " ms");
    }
  }

  /**
   * Under random schedules of all faults, replicas are equal some seconds after the last fault and
   * hold the latest entries.
   */
  @Test
  void randomSchedules_endInEqualReplicasWithoutSupersededEntries() {
    for (long seed = 1; seed <= 150; seed++) {
      final ReplicationScenario scenario =
          ReplicationScenario.random(seed, 3 + (int) (seed % 8), 0.05 * (seed % 5));
      final String violations = scenario.play();
      assertEquals("", violations, "seed " + seed + "\n" + scenario.schedule().text());
    }
  }

  @Test
  void sameSeed_sendsSameNumberOfBytes() {
    final Map<Long, Long> bytes = new HashMap<>();
    for (int turn = 0; turn < 2; turn++) {
      for (long seed = 1; seed <= 3; seed++) {
        final ReplicationScenario scenario = ReplicationScenario.random(seed, 5, 0.1);
        scenario.play();
        final Long before = bytes.put(seed, scenario.world().bytes());
        assertTrue(before == null || before.equals(scenario.world().bytes()));
      }
    }
  }
}
