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

/** The hard cases of knowing one another, each as a schedule of faults in virtual time. */
@Tag("peers")
final class PeersUnderFaultsTest {
  private static final long BEGAN_US = 1_000_000_000L;
  private static final long PAUSE_LIMIT_MS = 5000;

  /** A schedule that was played, with what was said on the way. */
  private static final class Play {
    private final List<String> said = new ArrayList<>();
    private final Map<Long, Runnable> looks = new HashMap<>();
    private final VirtualPeers world;

    Play(final String schedule) {
      this(Schedule.parse(schedule));
    }

    Play(final Schedule schedule) {
      world =
          new VirtualPeers(
              schedule,
              (number, life, names, seed, nowUs, wire) ->
                  PeersContestant.maker(
                          GossipSettings.defaults(),
                          true,
                          event ->
                              said.add(
                                  names.get(number)
                                      + ": "
                                      + event.type()
                                      + ' '
                                      + event.peerName()
                                      + ' '
                                      + event.message()))
                      .make(number, life, names, seed, nowUs, wire),
              PAUSE_LIMIT_MS);
      world.looking(
          at ->
              looks
                  .entrySet()
                  .removeIf(
                      look -> {
                        final boolean due = at.nowMs() >= look.getKey();
                        if (due) {
                          look.getValue().run();
                        }
                        return due;
                      }));
    }

    Play at(final long ms, final Runnable look) {
      looks.put(ms, look);
      return this;
    }

    FleetChecker judge() {
      final FleetChecker judge = world.play();
      assertTrue(looks.isEmpty(), "all looks were due");
      return judge;
    }

    FleetChecker good() {
      final FleetChecker judge = judge();
      assertEquals(List.of(), judge.violations());
      assertTrue(judge.isAgreed(), () -> "views differ at the end: " + said);
      return judge;
    }

    PeersContestant one(final int number) {
      return (PeersContestant)
          world.living().stream()
              .filter(one -> one.life().startsWith(String.format("n%03d#", number)))
              .findFirst()
              .orElseThrow();
    }

    PeerSnapshot known(final int by, final int of) {
      return one(by).peers().snapshots(BEGAN_US + world.nowMs() * 1000).stream()
          .filter(one -> one.id().name().equals(String.format("n%03d", of)))
          .findFirst()
          .orElseThrow();
    }

    long count(final String text) {
      return said.stream().filter(line -> line.contains(text)).count();
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.05, 0.3})
  void aKillIsKnownToAllSoon(final double loss) {
    final FleetChecker judge =
        new Play("members 10\nseed 3\nend 25s\nat 0s loss " + loss + "\nat 8s kill 3").good();
    assertEquals(1, judge.detectionTimesMs().size());
    assertTrue(
        judge.detectionTimesMs().get(0) < (loss < 0.1 ? 2000 : 4000),
        () -> "known after " + judge.detectionTimesMs());
  }

  /**
   * It hears nothing of one that all others hear: all say the same of it, without flapping, and
   * nobody is dead.
   */
  @Test
  void aCutOfOneDirectionIsOneStableAnswer() {
    final Play play =
        new Play("members 10\nseed 4\nend 60s\nat 0s loss 0.05\nat 8s cut 0 -> 4 for 40s");
    play.at(
        20_000,
        () -> {
          for (int by = 1; by < 10; by++) {
            assertEquals(PeerState.PARTLY, play.known(by, 0).state(), "of 0 by " + by);
            assertEquals(
                List.of("n004"),
                play.known(by, 0).unreachableReports().stream()
                    .map(PeerSnapshot.UnreachableReport::observer)
                    .toList());
            assertEquals(MembershipStatus.MAJORITY, play.one(by).peers().status());
          }
          assertEquals(PeerState.ALIVE, play.known(0, 4).state(), "the other direction is open");
        });
    play.good();
    assertEquals(9, play.count("n000 is reached by some"), "each says it once");
    assertEquals(0, play.count("is suspect"));
    assertEquals(
        1, play.world.judge().viewCount() - 1, "no view beyond the founding and the whole one");
  }

  @Test
  void aChainIsOneFleet() {
    final Play play = new Play("members 3\nseed 5\nend 40s\nat 8s cut 0 <-> 2 for 25s");
    play.at(
        30_000,
        () -> {
          assertEquals(PeerState.PARTLY, play.known(0, 2).state());
          assertEquals(PeerState.PARTLY, play.known(1, 2).state());
          assertEquals(MembershipStatus.MAJORITY, play.one(2).peers().status());
        });
    play.good();
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
  void pausesCostNobodyHisPlace(final String pause) {
    final Play play = new Play("members 10\nseed 6\nend 30s\nat 0s loss 0.3\nat 8s pause " + pause);
    play.good();
    assertEquals(0, play.count("is dead"));
    assertEquals(0, play.count("starts another incarnation"));
  }

  /**
   * Cut off from some for long, then still for less than the limit: those who heard it until then
   * do not agree to its end.
   */
  @Test
  void aCutBeforeAPauseAddsNothingToIt() {
    final Play play =
        new Play(
            "members 12\nseed 182\nend 45s\nat 0s loss 0.1\nat 10s cut 3,4,5,8,10 <-> 0,1,2,6,7,9,11 for 7500ms\n"
                + "at 16300ms pause 7 for 4500ms");
    play.good();
    assertEquals(0, play.count("n007 is dead"));
  }

  /**
   * Longer than the limit: it is out by agreement, accuses nobody on waking, and is back as another
   * life.
   */
  @Test
  void aPauseBeyondTheLimitIsAnEndAndAComingBack() {
    final Play play = new Play("members 10\nseed 7\nend 30s\nat 8s pause 3 for 12s");
    play.good();
    assertEquals(9, play.count("n003 is dead by agreement"));
    assertEquals(1, play.count("n003: PROCESS_PAUSED"));
    assertEquals(1, play.count("starts another incarnation"));
    assertTrue(
        play.said.stream()
            .filter(line -> line.startsWith("n003: PEER_STATE"))
            .noneMatch(line -> line.contains("suspect") || line.contains("not by n003")),
        "it accuses nobody");
    assertTrue(
        play.world.judge().lastAgreementMs() < 23_000,
        () -> "back at " + play.world.judge().lastAgreementMs());
  }

  /** At the very limit it may be out or not: either way all agree again, as it wakes. */
  @Test
  void aPauseAtTheLimitHarmsNobodyElse() {
    for (final String pause :
        List.of("3 for 7800ms", "3 for 8s", "3,5,8 for 8200ms", "3 for 8500ms")) {
      final Play play =
          new Play("members 10\nseed 22\nend 30s\nat 0s loss 0.1\nat 8s pause " + pause);
      play.good();
      assertEquals(
          0,
          play.said.stream()
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
  void oneOnATwentiethOfACoreStays() {
    final Play play =
        new Play("members 10\nseed 8\nend 40s\nat 0s loss 0.05\nat 8s starve 3 for 20s");
    play.good();
    assertEquals(0, play.count("is dead"));
  }

  /**
   * Halves, thirds and a lone one: each knows where it stands within 5 s, and nobody is dead where
   * there is no majority.
   */
  @Test
  void splitsAreKnownOnBothSides() {
    final Play halves =
        new Play("members 10\nseed 9\nend 45s\nat 8s cut 0,1,2,3,4 <-> 5,6,7,8,9 for 20s");
    halves.at(
        13_000,
        () -> {
          for (int one = 0; one < 10; one++) {
            assertEquals(MembershipStatus.MINORITY, halves.one(one).peers().status());
            assertEquals(5, halves.one(one).peers().reachableMembers());
          }
        });
    halves.good();
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
            assertEquals(MembershipStatus.MINORITY, pieces.one(one).peers().status());
          }
        });
    pieces.good();
    assertEquals(0, pieces.count("is dead"));

    final Play lone =
        new Play("members 10\nseed 11\nend 45s\nat 8s cut 4 <-> 0,1,2,3,5,6,7,8,9 for 20s");
    lone.at(
        13_000,
        () -> {
          assertEquals(MembershipStatus.ALONE, lone.one(4).peers().status());
          assertEquals(MembershipStatus.MAJORITY, lone.one(5).peers().status());
        });
    lone.good();
    assertEquals(9, lone.count("n004 is dead by agreement"));
  }

  @Test
  void aLoneOneInALargeFleetKnowsIt() {
    final StringBuilder others = new StringBuilder();
    for (int other = 0; other < 60; other++) {
      others.append(other == 40 || other == 41 ? "" : (others.isEmpty() ? "" : ",") + other);
    }
    final Play play =
        new Play("members 60\nseed 12\nend 40s\nat 10s cut 40,41 <-> " + others + " for 7s");
    play.at(
        15_500,
        () -> {
          assertTrue(play.one(40).peers().status() != MembershipStatus.MAJORITY);
          assertTrue(play.one(41).peers().status() != MembershipStatus.MAJORITY);
          assertEquals(MembershipStatus.MAJORITY, play.one(7).peers().status());
        });
    play.good();
    assertEquals(0, play.count("is dead"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0,1,2,3,4,5,6,7,8,9", "0,1,2,3,4,5,6", "0,1,2"})
  void whoeverIsRestartedAtOnceIsBackSoon(final String who) {
    final Play play =
        new Play(
            "members 10\nseed 13\nend 40s\nat 0s loss 0.05\nat 8s kill "
                + who
                + "\nat 9s start "
                + who);
    final FleetChecker judge = play.good();
    assertTrue(judge.lastAgreementMs() < 16_000, () -> "agreed at " + judge.lastAgreementMs());
  }

  @Test
  void aRestartInTheSameMomentIsAnotherLife() {
    final Play play = new Play("members 5\nseed 14\nend 20s\nat 8s kill 3\nat 8s start 3");
    play.good();
    assertEquals(
        0,
        play.count("is dead by agreement"),
        "its later life proves that the earlier one is over");
  }

  /**
   * All that others name as their seeds is gone for good; who comes then still finds the fleet once
   * one seed is back.
   */
  @Test
  void theFleetLivesWithoutItsSeeds() {
    final Play play =
        new Play(
            "members 9\nseed 15\nend 60s\nat 8s kill 0\nat 11s kill 1\nat 14s kill 2\nat 20s kill 7\n"
                + "at 24s start 7\nat 35s start 1");
    play.at(
        34_000,
        () -> {
          assertEquals(5, play.one(5).peers().view().members().size());
          assertEquals(
              1,
              play.one(7).peers().view().members().size(),
              "it founds a fleet of its own, knowing of no other");
        });
    play.good();
    assertEquals(7, play.one(7).peers().view().members().size());
  }

  @Test
  void whoLeavesByWordIsGoneAtOnce() {
    final Play play = new Play("members 5\nseed 16\nend 20s\nat 0s loss 0.05\nat 8s leave 2");
    final FleetChecker judge = play.good();
    assertTrue(
        judge.detectionTimesMs().get(0) < 1500, () -> "known after " + judge.detectionTimesMs());
    assertEquals(0, play.count("is suspect"));
  }

  @Test
  void doubledAndOvertakingDatagramsChangeNothing() {
    final Play play =
        new Play(
            "members 8\nseed 17\nend 40s\nat 0s loss 0.1\nat 0s double 0.5\nat 0s delay 300\nat 8s kill 3\n"
                + "at 14s start 3\nat 18s pause 5 for 4s");
    play.good();
    assertEquals(0, play.count("n005 is dead"));
  }

  @Test
  void manyJoinAtOnce() {
    final FleetChecker judge = new Play(new Schedule(200, 18, 20_000, List.of())).good();
    assertTrue(judge.lastAgreementMs() < 12_000, () -> "agreed at " + judge.lastAgreementMs());
  }

  /** Views, deaths and agreement under everything at once; each seed replays. */
  @Test
  void randomSchedulesKeepThePromises() {
    final List<Long> times = new ArrayList<>();
    for (long seed = 0; seed < 120; seed++) {
      final int members = 3 + (int) (seed * 7 % 11);
      final Schedule.FaultMix weather =
          seed % 3 == 0
              ? Schedule.FaultMix.killsOnly(0.05)
              : seed % 3 == 1 ? Schedule.FaultMix.killsOnly(0.3) : Schedule.FaultMix.all(0.1, 4500);
      final Schedule schedule = Schedule.random(seed, members, 40_000, weather);
      final long of = seed;
      final FleetChecker judge = new Play(schedule).judge();
      assertEquals(List.of(), judge.violations(), () -> "seed " + of + "\n" + schedule.text());
      assertTrue(
          judge.isAgreed(), () -> "views differ at the end, seed " + of + "\n" + schedule.text());
      if (seed % 3 < 2) {
        times.addAll(judge.detectionTimesMs());
      }
    }
    Collections.sort(times);
    assertTrue(times.get(times.size() * 99 / 100) < 4000, () -> "known after " + times);
  }

  /** The same schedule is the same run, to the last word. */
  @Test
  void aSeedReplays() {
    final Schedule schedule = Schedule.random(5, 7, 30_000, Schedule.FaultMix.all(0.1, 4500));
    final Play one = new Play(Schedule.parse(schedule.text()));
    final Play other = new Play(schedule);
    one.judge();
    other.judge();
    assertEquals(one.said, other.said);
    assertFalse(one.said.isEmpty());
  }

  @Test
  void watchersAreManyAndNobodyIsForgotten() {
    final Play play = new Play(new Schedule(40, 19, 12_000, List.of()));
    play.good();
    final Map<String, Integer> watchedBy = new HashMap<>();
    for (final Contestant one : play.world.living()) {
      final Set<String> here = new HashSet<>();
      ((PeersContestant) one)
          .peers()
          .snapshots(BEGAN_US + 12_000_000)
          .forEach(
              known -> {
                if (known.localReachability() != null && here.add(known.id().name())) {
                  watchedBy.merge(known.id().name(), 1, Integer::sum);
                }
              });
    }
    assertEquals(40, watchedBy.size());
    assertTrue(Collections.min(watchedBy.values()) >= 3, () -> "watched by " + watchedBy);
  }

  @Test
  void eventsNameWhoAndWhy() {
    final List<PeerEvent> events = new ArrayList<>();
    new VirtualPeers(
            Schedule.parse("members 3\nseed 20\nend 15s\nat 6s kill 1"),
            PeersContestant.maker(GossipSettings.defaults(), true, events::add),
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
