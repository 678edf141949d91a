package thistleturn.lab.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.decisions.peers.GossipSettings;
import thistleturn.decisions.peers.MembershipStatus;
import thistleturn.decisions.peers.PeerEvent;
import thistleturn.decisions.peers.PeerSnapshot;
import thistleturn.decisions.peers.PeerState;
import thistleturn.testkit.rig.FleetChecker;
import thistleturn.testkit.rig.Schedule;

/** Difficult cases of the membership protocol, each as a schedule of faults in virtual time. */
@Tag("peers")
final class PeersUnderFaultsTest {
  private static final long BEGAN_US = 1_000_000_000L;
  private static final long PAUSE_LIMIT_MS = 5000;

  /** A run of a schedule that records the events of all members. */
  private static final class Play {
    private final List<String> eventLines = new ArrayList<>();
    private final Map<Long, Runnable> observations = new HashMap<>();
    private final VirtualPeers world;

    Play(final String schedule) {
      this(Schedule.parse(schedule));
    }

    Play(final Schedule schedule) {
      world =
          new VirtualPeers(
              schedule,
              (number, restarts, names, seed, nowUs, wire) ->
                  ProtocolNode.factory(
                          GossipSettings.defaults(),
                          true,
                          event ->
                              eventLines.add(
                                  names.get(number)
                                      + ": "
                                      + event.type()
                                      + ' '
                                      + event.peerName()
                                      + ' '
                                      + event.message()))
                      .create(number, restarts, names, seed, nowUs, wire),
              PAUSE_LIMIT_MS);
      world.onEachStep(
          at ->
              observations
                  .entrySet()
                  .removeIf(
                      observation -> {
                        final boolean due = at.nowMs() >= observation.getKey();
                        if (due) {
                          observation.getValue().run();
                        }
                        return due;
                      }));
    }

    Play at(final long ms, final Runnable observation) {
      observations.put(ms, observation);
      return this;
    }

    FleetChecker run() {
      final FleetChecker checker = world.play();
      assertTrue(observations.isEmpty(), "every planned observation was made");
      return checker;
    }

    FleetChecker runWithoutViolations() {
      final FleetChecker checker = run();
      assertEquals(List.of(), checker.violations());
      assertTrue(checker.isAgreed(), () -> "views differ at the end: " + eventLines);
      return checker;
    }

    ProtocolNode node(final int number) {
      return (ProtocolNode)
          world.running().stream()
              .filter(one -> one.id().startsWith(String.format("n%03d#", number)))
              .findFirst()
              .orElseThrow();
    }

    PeerSnapshot snapshot(final int by, final int of) {
      return node(by).protocol().snapshots(BEGAN_US + world.nowMs() * 1000).stream()
          .filter(one -> one.id().name().equals(String.format("n%03d", of)))
          .findFirst()
          .orElseThrow();
    }

    long count(final String text) {
      return eventLines.stream().filter(line -> line.contains(text)).count();
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.05, 0.3})
  void killedProcess_isDetectedByAllInTime(final double loss) {
    final FleetChecker checker =
        new Play("members 10\nseed 3\nend 25s\nat 0s loss " + loss + "\nat 8s kill 3")
            .runWithoutViolations();
    assertEquals(1, checker.detectionTimesMs().size());
    assertTrue(
        checker.detectionTimesMs().get(0) < (loss < 0.1 ? 2000 : 4000),
        () -> "detected after " + checker.detectionTimesMs());
  }

  /**
   * One member does not receive another's messages while all others do: all members report the same
   * state, without flapping, and no member is declared dead.
   */
  @Test
  void oneDirectionalCut_givesStableStateWithoutDeath() {
    final Play play =
        new Play("members 10\nseed 4\nend 60s\nat 0s loss 0.05\nat 8s cut 0 -> 4 for 40s");
    play.at(
        20_000,
        () -> {
          for (int by = 1; by < 10; by++) {
            assertEquals(PeerState.PARTLY, play.snapshot(by, 0).state(), "of 0 by " + by);
            assertEquals(
                List.of("n004"),
                play.snapshot(by, 0).unreachableReports().stream()
                    .map(PeerSnapshot.UnreachableReport::observer)
                    .toList());
            assertEquals(MembershipStatus.MAJORITY, play.node(by).protocol().status());
          }
          assertEquals(
              PeerState.ALIVE, play.snapshot(0, 4).state(), "the other direction is not cut");
        });
    play.runWithoutViolations();
    assertEquals(9, play.count("n000 is reached by some"), "each member reports it once");
    assertEquals(0, play.count("is suspect"));
    assertEquals(
        1,
        play.world.checker().viewCount() - 1,
        "no view besides the founding one and the one with all members");
  }

  @Test
  void twoMembersCutFromEachOther_remainOneFleet() {
    final Play play = new Play("members 3\nseed 5\nend 40s\nat 8s cut 0 <-> 2 for 25s");
    play.at(
        30_000,
        () -> {
          assertEquals(PeerState.PARTLY, play.snapshot(0, 2).state());
          assertEquals(PeerState.PARTLY, play.snapshot(1, 2).state());
          assertEquals(MembershipStatus.MAJORITY, play.node(2).protocol().status());
        });
    play.runWithoutViolations();
    assertEquals(0, play.count("is suspect"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "3 for 200ms",
        "3 for 1s",
        "3 for 5s",
        "1,4,7 for 3s",
        "1,4,7 for 5s",
        "0,1,2,3,4,5,6,7,8,9 for 8s",
        "0,1,2,3,4 for 5s"
      })
  void pauseBelowLimit_keepsMembership(final String pause) {
    final Play play = new Play("members 10\nseed 6\nend 30s\nat 0s loss 0.3\nat 8s pause " + pause);
    play.runWithoutViolations();
    assertEquals(0, play.count("is dead"));
    assertEquals(0, play.count("starts another incarnation"));
  }

  /**
   * A member is first cut off from some members, then paused for less than the limit: the members
   * that received its messages until the pause do not agree to its death.
   */
  @Test
  void cutBeforePause_doesNotShortenPauseLimit() {
    final Play play =
        new Play(
            "members 12\nseed 182\nend 45s\nat 0s loss 0.1\nat 10s cut 3,4,5,8,10 <-> 0,1,2,6,7,9,11 for 7500ms\n"
                + "at 16300ms pause 7 for 4500ms");
    play.runWithoutViolations();
    assertEquals(0, play.count("n007 is dead"));
  }

  /**
   * A member paused beyond the limit is removed by agreement, reports no peer as unreachable on
   * resuming, and rejoins as a new incarnation.
   */
  @Test
  void pauseBeyondLimit_removesAndRejoinsAsNewIncarnation() {
    final Play play = new Play("members 10\nseed 7\nend 30s\nat 8s pause 3 for 12s");
    play.runWithoutViolations();
    assertEquals(9, play.count("n003 is dead by agreement"));
    assertEquals(1, play.count("n003: PROCESS_PAUSED"));
    assertEquals(1, play.count("starts another incarnation"));
    assertTrue(
        play.eventLines.stream()
            .filter(line -> line.startsWith("n003: PEER_STATE"))
            .noneMatch(line -> line.contains("suspect") || line.contains("not by n003")),
        "it reports no peer as unreachable");
    assertTrue(
        play.world.checker().lastAgreementMs() < 23_000,
        () -> "rejoined at " + play.world.checker().lastAgreementMs());
  }

  /** At the limit a paused member may be removed or not; either way all agree after it resumes. */
  @Test
  void pauseAtLimit_affectsNoOtherMember() {
    for (final String pause :
        List.of("3 for 7800ms", "3 for 8s", "3,5,8 for 8200ms", "3 for 8500ms")) {
      final Play play =
          new Play("members 10\nseed 22\nend 30s\nat 0s loss 0.1\nat 8s pause " + pause);
      play.runWithoutViolations();
      assertEquals(
          0,
          play.eventLines.stream()
              .filter(
                  line ->
                      line.contains("is dead")
                          && !line.contains("n003")
                          && !line.contains("n005")
                          && !line.contains("n008"))
              .count());
    }
  }

  @Test
  void memberOnTwentiethOfCore_keepsMembership() {
    final Play play =
        new Play("members 10\nseed 8\nend 40s\nat 0s loss 0.05\nat 8s starve 3 for 20s");
    play.runWithoutViolations();
    assertEquals(0, play.count("is dead"));
  }

  /**
   * Partitions into halves, into thirds and with a single isolated member: each member recognizes
   * its status within 5 s, and no member is declared dead where there is no majority.
   */
  @Test
  void partition_isRecognizedOnAllSides() {
    final Play halves =
        new Play("members 10\nseed 9\nend 45s\nat 8s cut 0,1,2,3,4 <-> 5,6,7,8,9 for 20s");
    halves.at(
        13_000,
        () -> {
          for (int one = 0; one < 10; one++) {
            assertEquals(MembershipStatus.MINORITY, halves.node(one).protocol().status());
            assertEquals(5, halves.node(one).protocol().reachableMembers());
          }
        });
    halves.runWithoutViolations();
    assertEquals(0, halves.count("is dead"));

    final Play pieces =
        new Play(
            """
                members 9
                seed 10
                end 60s
                at 8s cut 0,1,2 <-> 3,4,5,6,7,8 for 15s
                at 8s cut 3,4,5 <-> 6,7,8 for 25s
                """);
    pieces.at(
        13_000,
        () -> {
          for (int one = 0; one < 9; one++) {
            assertEquals(MembershipStatus.MINORITY, pieces.node(one).protocol().status());
          }
        });
    pieces.runWithoutViolations();
    assertEquals(0, pieces.count("is dead"));

    final Play lone =
        new Play("members 10\nseed 11\nend 45s\nat 8s cut 4 <-> 0,1,2,3,5,6,7,8,9 for 20s");
    lone.at(
        13_000,
        () -> {
          assertEquals(MembershipStatus.ALONE, lone.node(4).protocol().status());
          assertEquals(MembershipStatus.MAJORITY, lone.node(5).protocol().status());
        });
    lone.runWithoutViolations();
    assertEquals(9, lone.count("n004 is dead by agreement"));
  }

  @Test
  void smallMinorityOfLargeFleet_recognizesPartition() {
    final StringBuilder others = new StringBuilder();
    for (int other = 0; other < 60; other++) {
      others.append(other == 40 || other == 41 ? "" : (others.isEmpty() ? "" : ",") + other);
    }
    final Play play =
        new Play("members 60\nseed 12\nend 40s\nat 10s cut 40,41 <-> " + others + " for 7s");
    play.at(
        15_500,
        () -> {
          assertTrue(play.node(40).protocol().status() != MembershipStatus.MAJORITY);
          assertTrue(play.node(41).protocol().status() != MembershipStatus.MAJORITY);
          assertEquals(MembershipStatus.MAJORITY, play.node(7).protocol().status());
        });
    play.runWithoutViolations();
    assertEquals(0, play.count("is dead"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0,1,2,3,4,5,6,7,8,9", "0,1,2,3,4,5,6", "0,1,2"})
  void simultaneousRestart_rejoinsInTime(final String who) {
    final Play play =
        new Play(
            "members 10\nseed 13\nend 40s\nat 0s loss 0.05\nat 8s kill "
                + who
                + "\nat 9s start "
                + who);
    final FleetChecker checker = play.runWithoutViolations();
    assertTrue(checker.lastAgreementMs() < 16_000, () -> "agreed at " + checker.lastAgreementMs());
  }

  @Test
  void restartAtTimeOfKill_isNewIncarnation() {
    final Play play = new Play("members 5\nseed 14\nend 20s\nat 8s kill 3\nat 8s start 3");
    play.runWithoutViolations();
    assertEquals(
        0,
        play.count("is dead by agreement"),
        "the later incarnation proves the end of the earlier one");
  }

  /** All seeds end; a member that starts then finds the fleet as soon as one seed is back. */
  @Test
  void lossOfAllSeeds_fleetContinues() {
    final Play play =
        new Play(
            "members 9\nseed 15\nend 60s\nat 8s kill 0\nat 11s kill 1\nat 14s kill 2\nat 20s kill 7\n"
                + "at 24s start 7\nat 35s start 1");
    play.at(
        34_000,
        () -> {
          assertEquals(5, play.node(5).protocol().view().members().size());
          assertEquals(
              1,
              play.node(7).protocol().view().members().size(),
              "it founds its own fleet, since it reaches no seed");
        });
    play.runWithoutViolations();
    assertEquals(7, play.node(7).protocol().view().members().size());
  }

  @Test
  void announcedLeave_isDetectedWithoutSuspicion() {
    final Play play = new Play("members 5\nseed 16\nend 20s\nat 0s loss 0.05\nat 8s leave 2");
    final FleetChecker checker = play.runWithoutViolations();
    assertTrue(
        checker.detectionTimesMs().get(0) < 1500,
        () -> "detected after " + checker.detectionTimesMs());
    assertEquals(0, play.count("is suspect"));
  }

  @Test
  void duplicatedAndReorderedDatagrams_areHarmless() {
    final Play play =
        new Play(
            "members 8\nseed 17\nend 40s\nat 0s loss 0.1\nat 0s double 0.5\nat 0s delay 300\nat 8s kill 3\n"
                + "at 14s start 3\nat 18s pause 5 for 4s");
    play.runWithoutViolations();
    assertEquals(0, play.count("n005 is dead"));
  }

  @Test
  void simultaneousJoinOfManyMembers_agreesInTime() {
    final FleetChecker checker =
        new Play(new Schedule(200, 18, 20_000, List.of())).runWithoutViolations();
    assertTrue(checker.lastAgreementMs() < 12_000, () -> "agreed at " + checker.lastAgreementMs());
  }

  /** Views, deaths and agreement under random combinations of faults; each seed is repeatable. */
  @Test
  void randomSchedules_violateNoGuarantee() {
    final List<Long> times = new ArrayList<>();
    for (long seed = 0; seed < 120; seed++) {
      final int members = 3 + (int) (seed * 7 % 11);
      final Schedule.FaultMix mix =
          seed % 3 == 0
              ? Schedule.FaultMix.killsOnly(0.05)
              : seed % 3 == 1 ? Schedule.FaultMix.killsOnly(0.3) : Schedule.FaultMix.all(0.1, 4500);
      final Schedule schedule = Schedule.random(seed, members, 40_000, mix);
      final long of = seed;
      final FleetChecker checker = new Play(schedule).run();
      assertEquals(List.of(), checker.violations(), () -> "seed " + of + "\n" + schedule.text());
      assertTrue(
          checker.isAgreed(), () -> "views differ at the end, seed " + of + "\n" + schedule.text());
      if (seed % 3 < 2) {
        times.addAll(checker.detectionTimesMs());
      }
    }
    Collections.sort(times);
    assertTrue(times.get(times.size() * 99 / 100) < 4000, () -> "detected after " + times);
  }

  /** The same schedule yields exactly the same events. */
  @Test
  void sameSchedule_givesSameEvents() {
    final Schedule schedule = Schedule.random(5, 7, 30_000, Schedule.FaultMix.all(0.1, 4500));
    final Play one = new Play(Schedule.parse(schedule.text()));
    final Play other = new Play(schedule);
    one.run();
    other.run();
    assertEquals(one.eventLines, other.eventLines);
    assertFalse(one.eventLines.isEmpty());
  }

  @Test
  void everyMember_isMonitoredByAtLeastThree() {
    final Play play = new Play(new Schedule(40, 19, 12_000, List.of()));
    play.runWithoutViolations();
    final Map<String, Integer> watchedBy = new HashMap<>();
    for (final MembershipNode one : play.world.running()) {
      final Set<String> here = new HashSet<>();
      ((ProtocolNode) one)
          .protocol()
          .snapshots(BEGAN_US + 12_000_000)
          .forEach(
              known -> {
                if (known.localReachability() != null && here.add(known.id().name())) {
                  watchedBy.merge(known.id().name(), 1, Integer::sum);
                }
              });
    }
    assertEquals(40, watchedBy.size());
    assertTrue(Collections.min(watchedBy.values()) >= 3, () -> "monitored by " + watchedBy);
  }

  @Test
  void events_nameSubjectAndReason() {
    final List<PeerEvent> events = new ArrayList<>();
    new VirtualPeers(
            Schedule.parse("members 3\nseed 20\nend 15s\nat 6s kill 1"),
            ProtocolNode.factory(GossipSettings.defaults(), true, events::add),
            PAUSE_LIMIT_MS)
        .play();
    assertTrue(
        events.stream()
            .anyMatch(
                event ->
                    event.type() == PeerEvent.Type.VIEW
                        && event.message().endsWith("of 2: -n001")));
    assertTrue(
        events.stream()
            .anyMatch(
                event ->
                    event.peerName().equals("n001")
                        && event.message().startsWith("is suspect: not reached by")));
  }
}
