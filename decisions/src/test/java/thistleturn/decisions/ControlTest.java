package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistleturn.decisions.Scene.DEST;
import static thistleturn.decisions.Scene.MS;
import static thistleturn.decisions.Scene.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import thistleturn.decisions.Courier.Condition;
import thistleturn.decisions.Courier.Result;
import thistleturn.decisions.Courier.Update;

/** The decisions, by behaviour: the table, each rule, each failure found. */
final class ControlTest {
  private static final int SAFE = 0;
  private static final int KEYED = 1;
  private static final int UNSAFE = 2;
  private static final int TURN = 3;
  private static final int ZONED = 4;

  private final Scene scene = Scene.withTwoEndpoints(Scene.settings());

  @ParameterizedTest
  @CsvSource({
    "0,0,0.4",
    "0,0.5,0.2",
    "0,1,-0.2",
    "0.5,0,0.2",
    "0.5,0.5,0",
    "0.5,1,-0.4",
    "1,0,-0.2",
    "1,0.5,-0.4",
    "1,1,-0.6"
  })
  void everyCellOfTableOneAtTheMembershipPeaks(
      final double latency, final double refusal, final double change) {
    assertEquals(change, TableOne.change(latency, refusal), 1e-9);
  }

  @Test
  void theTableStaysInThePapersRange() {
    for (int row = 0; row <= 20; row++) {
      for (int column = 0; column <= 20; column++) {
        final double change = TableOne.change(row / 20.0, column / 20.0);
        assertTrue(change >= -0.6 && change <= 0.4, row + "," + column + ": " + change);
      }
    }
  }

  @Test
  void theWindowBoundsCallsInFlightAndGrowsWithServedSteps() {
    for (int index = 0; index < 10; index++) {
      scene.take("m" + index, SAFE);
    }
    assertEquals(2, scene.sent.size(), "a new lane's window");
    serveFor(10);
    final long before = scene.sent.size();
    for (int index = 0; index < 30; index++) {
      scene.take("late" + index, SAFE);
    }
    final long inFlight = scene.sent.size() - before;
    assertTrue(
        inFlight > 2 && inFlight <= 12, "grown, at most three quarters of 16 slots: " + inFlight);
  }

  @Test
  void refusalsShrinkTheWindowToItsFloorButNotBelow() {
    for (int round = 0; round < 12; round++) {
      scene.take("m" + round, SAFE);
      scene.pass(SECOND);
      outstanding().forEach(id -> scene.end(id, Result.REFUSED));
    }
    scene.pass(20 * SECOND);
    assertTrue(outstanding().size() <= 1, "one call at a time at the floor");
    assertTrue(scene.sent.size() > 3, "and still trying");
  }

  @Test
  void everyMessageEndsExactlyOnceBeforeItsTimeIsUp() {
    final Scene empty = new Scene(Scene.settings());
    empty.take("lonely", SAFE);
    empty.pass(15 * SECOND);
    assertTrue(empty.refused.isEmpty(), "a destination without endpoints may get one yet");
    empty.pass(SECOND);
    assertEquals(List.of("lonely"), empty.refused);
    empty.pass(5 * SECOND);
    assertEquals(1, empty.refused.size());
  }

  @Test
  void aSafeMessageIsSentAgainAfterAReset() {
    scene.take("m", SAFE);
    scene.end("m", Result.RESET);
    scene.pass(3 * SECOND);
    assertEquals(2, scene.count("m"));
  }

  /**
   * Connections that were dead before their calls say nothing of their endpoints, however many
   * there are.
   */
  @Test
  void deadConnectionsDoNotMakeAnEndpointOneToAvoid() {
    for (int index = 0; index < 12; index++) {
      scene.take("m" + index, SAFE);
      scene.end("m" + index, Result.STALE);
      assertEquals(2, scene.count("m" + index), "goes again at once");
      scene.end("m" + index, Result.DELIVERED);
    }
    assertEquals("WELL", scene.control.lanes().get(0).phase());
    assertTrue(scene.closed.size() >= 12, "those like it are closed: " + scene.closed);
  }

  @Test
  void anUnsafeMessageOverADeadConnectionMayHaveRunAllTheSame() {
    scene.take("pay", UNSAFE);
    scene.end("pay", Result.STALE);
    assertEquals(List.of("pay"), scene.failed);
    assertEquals(1, scene.count("pay"));
  }

  @Test
  void anUnsafeMessageThatMayHaveRunGetsNoSecondAttemptAndNoRefusal() {
    scene.take("pay", UNSAFE);
    scene.end("pay", Result.RESET);
    assertEquals(List.of("pay"), scene.failed);
    scene.pass(20 * SECOND);
    assertEquals(1, scene.count("pay"));
    assertTrue(scene.refused.isEmpty());
  }

  @Test
  void anUnsafeMessageThatNeverRanIsSentAgain() {
    scene.take("pay", UNSAFE);
    scene.end("pay", Result.NO_CONNECTION);
    scene.pass(2 * SECOND);
    assertEquals(2, scene.count("pay"));
  }

  @Test
  void anUnsafeAttemptHasTheWholeTimeOfItsMessage() {
    scene.take("pay", UNSAFE);
    assertEquals(16 * SECOND, scene.last("pay").timeoutUs());
  }

  @Test
  void aKeyedMessageIsSentAgainOnlyInsideItsKeysWindow() {
    scene.list(Update.WHOLE, Scene.endpoint(1, DEST, "a"));
    scene.take("m", KEYED);
    final long first = scene.nowUs;
    scene.end("m", Result.ERROR);
    assertEquals(2, scene.count("m"));
    scene.end("m", Result.REFUSED, 10 * SECOND);
    scene.pass(8 * SECOND);
    assertEquals(2, scene.count("m"), "the wait ends after the window");
    assertEquals(List.of("m"), scene.refused);
    assertTrue(scene.last("m").atUs() - first <= 6 * SECOND);
  }

  @Test
  void aKeyedAttemptEndsEarlyEnoughForAnother() {
    scene.take("m", KEYED);
    assertTrue(scene.last("m").timeoutUs() <= 5500 * MS, "inside the window of six seconds");
  }

  @Test
  void aZoneKeyedMessageThatMayHaveRunStaysInItsZoneAndIsNeverRefused() {
    scene.take("m", ZONED);
    final long endpoint = scene.last("m").endpoint();
    scene.end("m", Result.RESET);
    scene.pass(20 * SECOND);
    assertTrue(scene.sent.stream().allMatch(sent -> sent.endpoint() == endpoint));
    assertTrue(scene.refused.isEmpty());
  }

  @Test
  void neverTwoAttemptsAtOnce() {
    scene.take("m", SAFE);
    scene.pass(10 * SECOND);
    assertEquals(1, scene.count("m"), "overdue, but not over");
  }

  @Test
  void nothingNewGoesToAnEndpointThatDrainsOrIsGone() {
    scene.list(Update.CHANGES, Scene.in(Condition.DRAINING, 1));
    for (int index = 0; index < 4; index++) {
      scene.take("m" + index, SAFE);
      outstanding().forEach(id -> scene.end(id, Result.DELIVERED));
    }
    assertTrue(scene.sent.stream().allMatch(sent -> sent.endpoint() == 2));
    scene.list(Update.WHOLE, Scene.endpoint(3, DEST, "a"));
    final int before = scene.sent.size();
    scene.take("after", SAFE);
    assertEquals(3, scene.sent.get(before).endpoint(), "missing from a whole list is gone");
  }

  @Test
  void aToldWaitHoldsTheWholeDestinationForEveryMessage() {
    scene.take("m", SAFE);
    scene.tell("m", Result.REFUSED, 1500 * MS);
    scene.take("other", KEYED);
    scene.pass(1499 * MS);
    assertEquals(1, scene.sent.size());
    scene.pass(2500 * MS);
    assertTrue(scene.sent.size() > 1);
  }

  @Test
  void aToldWaitHoldsOnlyTheRouteWhereRoutesAreApart() {
    final Scene apart = Scene.withTwoEndpoints(Scene.settings(16, 1, true, false));
    apart.take("m", SAFE);
    final long first = apart.last("m").endpoint();
    apart.end("m", Result.REFUSED, 1500 * MS);
    assertEquals(2, apart.count("m"));
    assertNotEquals(first, apart.last("m").endpoint());
  }

  @Test
  void aRouteThatIsGoneAndListedAgainStillHasItsWait() {
    final Scene apart = new Scene(Scene.settings(16, 1, true, false));
    apart.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
    apart.take("m", SAFE);
    apart.end("m", Result.REFUSED, 5 * SECOND);
    apart.list(Update.WHOLE);
    apart.list(Update.WHOLE, Scene.endpoint(1, DEST, "a"));
    apart.pass(4900 * MS);
    assertEquals(1, apart.count("m"));
    apart.pass(6 * SECOND);
    assertEquals(2, apart.count("m"));
  }

  @Test
  void aKeyThatWasUsedUpStartsAnew() {
    scene.take("first", TURN, "k", 16 * SECOND);
    scene.end("first", Result.DELIVERED);
    scene.pass(3 * SECOND);
    scene.take("second", TURN, "k", 16 * SECOND);
    assertEquals(1, scene.count("second"));
  }

  @Test
  void messagesOfOneKeyGoInTurnAndRestAfterAnOpenAttempt() {
    scene.take("first", TURN, "k", 16 * SECOND);
    scene.take("second", TURN, "k", 16 * SECOND);
    assertEquals(0, scene.count("second"));
    scene.end("first", Result.TIMED_OUT);
    scene.pass(2 * SECOND);
    assertTrue(scene.count("first") >= 2, "the one whose turn it is does not rest");
    assertEquals(0, scene.count("second"));
    scene.end("first", Result.DELIVERED);
    assertEquals(0, scene.count("second"), "the key rests for three seconds from the time-out");
    scene.pass(1100 * MS);
    assertEquals(1, scene.count("second"));
  }

  @Test
  void deadDestinationGetsSingleTrialsFarApartAndARampAfterItsReturn() {
    for (int index = 0; index < 30; index++) {
      scene.take("m" + index, SAFE, null, 60 * SECOND);
    }
    failFor(20);
    final int before = scene.sent.size();
    failFor(20);
    final int trials = scene.sent.size() - before;
    assertTrue(trials >= 3 && trials <= 12, "trials in 20 s: " + trials);
    final int returned = scene.sent.size();
    serveFor(2);
    assertTrue(scene.sent.size() - returned <= 3, "no rush at a cold destination");
  }

  /** A route apart, and a destination that a message made up, are not kept for good. */
  @Test
  void whatHasLongBeenOfNoUseIsForgotten() {
    final Scene apart = new Scene(Scene.settings(16, 1, true, false));
    apart.list(Update.WHOLE, Scene.endpoint(1, DEST, "a"));
    apart.take("m", SAFE);
    apart.end("m", Result.DELIVERED);
    apart.takeFor("nowhere", SAFE, 99);
    assertEquals(2, apart.control.destinationsKnown());
    apart.list(Update.CHANGES, Scene.in(Courier.Condition.GONE, 1));
    apart.pass(50 * SECOND);
    assertEquals(
        1, apart.control.destinationsKnown(), "only the route's wait and outage are still of use");
    apart.pass(15 * SECOND);
    assertEquals(0, apart.control.destinationsKnown());
  }

  /**
   * An outage belongs to the endpoints that had it: the machine that replaces them is tried at
   * once.
   */
  @Test
  void aNewEndpointIsTriedAtOnceWhereTheOldOnesWereOut() {
    for (int index = 0; index < 10; index++) {
      scene.take("m" + index, SAFE, null, 60 * SECOND);
    }
    failFor(30);
    scene.list(Update.WHOLE, Scene.endpoint(3, DEST, "a"));
    assertTrue(
        scene.sent.stream().anyMatch(send -> send.endpoint() == 3 && send.atUs() == scene.nowUs));
  }

  /**
   * Seen on sockets: endpoints closed kept connections at their next use, and were taken for sick.
   */
  @Test
  void aResetOnAKeptConnectionClosesTheOthersAndBlamesNobody() {
    final Scene one = new Scene(Scene.settings());
    one.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
    one.take("warm", SAFE);
    one.end("warm", Result.DELIVERED);
    one.take("m", SAFE);
    one.end("m", Result.RESET);
    assertEquals(List.of(1L), one.closed);
    assertEquals(2, one.count("m"), "it goes again at once, over a new connection");
    one.end("m", Result.RESET);
    assertEquals(2, one.count("m"), "a new one that is reset is the endpoint's fault");
  }

  /**
   * Seen on sockets: a refused call of five counted five times, and two of them passed for an
   * outage.
   */
  @Test
  void aSharedCallThatIsTurnedAwayIsOneRefusal() {
    final Scene shared = new Scene(Scene.settings(16, 5, false, false));
    shared.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
    for (int index = 0; index < 7; index++) {
      shared.take("m" + index, SAFE);
    }
    for (int round = 0; round < 3; round++) {
      final List<String> out =
          shared.sent.stream()
              .map(Scene.Sent::id)
              .distinct()
              .filter(id -> shared.count(id) > shared.ended(id))
              .toList();
      out.forEach(id -> shared.tell(id, Result.REFUSED, 100 * MS));
      shared.control.decide(shared.nowUs);
      shared.pass(1500 * MS);
    }
    final long lastUs = shared.sent.get(shared.sent.size() - 1).atUs();
    assertEquals(
        5, shared.sent.stream().filter(send -> send.atUs() == lastUs).count(), "not a lone trial");
  }

  /**
   * Seen on sockets: after a false outage a destination that takes five in a call got one for nine
   * seconds.
   */
  @Test
  void aDestinationThatCameBackIsServedInSharedCalls() {
    final Scene shared = new Scene(Scene.settings(16, 5, false, false));
    shared.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
    for (int index = 0; index < 30; index++) {
      shared.take("m" + index, SAFE, null, 60 * SECOND);
    }
    for (int step = 0; step < 200; step++) {
      final boolean back = step >= 100;
      for (final String id :
          shared.sent.stream()
              .map(Scene.Sent::id)
              .distinct()
              .filter(id -> shared.count(id) > shared.ended(id))
              .toList()) {
        shared.end(id, back ? Result.DELIVERED : Result.NO_CONNECTION);
      }
      shared.pass(100 * MS);
    }
    final var calls =
        shared.sent.stream()
            .filter(send -> send.atUs() > 18 * SECOND)
            .collect(
                java.util.stream.Collectors.groupingBy(
                    Scene.Sent::atUs, java.util.stream.Collectors.counting()));
    assertTrue(calls.values().stream().anyMatch(count -> count == 5), calls.toString());
  }

  @Test
  void anUnsafeMessageIsTheLastToBeRiskedOnATrial() {
    for (int index = 0; index < 4; index++) {
      scene.take("m" + index, KEYED);
    }
    failFor(1);
    scene.take("pay", UNSAFE);
    scene.take("other", KEYED);
    final int before = scene.sent.size();
    failFor(10);
    assertTrue(scene.sent.size() > before, "trials were made");
    assertEquals(0, scene.count("pay"));
  }

  @Test
  void oneSickEndpointIsAvoidedWhileItsDestinationGoesOn() {
    for (int round = 0; round < 40; round++) {
      scene.take("m" + round, SAFE);
      outstanding()
          .forEach(
              id ->
                  scene.end(
                      id,
                      scene.last(id).endpoint() == 1 ? Result.NO_CONNECTION : Result.DELIVERED));
      scene.pass(200 * MS);
    }
    final long sick = scene.sent.stream().filter(sent -> sent.endpoint() == 1).count();
    assertTrue(sick <= 6, "sends to the sick endpoint: " + sick);
    assertTrue(scene.sent.size() >= 40);
  }

  /**
   * Incident: hung calls took every slot of couriers with few, and healthy destinations starved.
   */
  @Test
  void aSilentCallIsCalledOffWhenItsSlotIsWanted() {
    final Scene tight = new Scene(Scene.settings(1, 1, false, false));
    tight.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"), Scene.endpoint(9, 99, "a"));
    tight.take("hung", UNSAFE);
    tight.control.onMessage(
        tight.nowUs, new Courier.Message("other", SAFE, -1, null, tight.nowUs + 16 * SECOND, 99));
    tight.pass(5 * SECOND);
    assertEquals(List.of("hung/0"), tight.cancelled);
    tight.end("hung", Result.CANCELLED);
    assertEquals(List.of("hung"), tight.failed);
    assertEquals(1, tight.count("other"));
  }

  /**
   * Incident: idle connections were dropped on their way, and calls over them went silent
   * everywhere.
   */
  @Test
  void idleConnectionsAreClosedBeforeUseWhereCallsOverThemGoSilent() {
    scene.list(Update.WHOLE, Scene.endpoint(1, DEST, "a"));
    for (int round = 0; round < 12; round++) {
      scene.take("warm" + round, SAFE);
      outstanding().forEach(id -> scene.end(id, Result.DELIVERED));
    }
    assertTrue(scene.closed.isEmpty());
    for (int round = 0; round < 6; round++) {
      final int closed = scene.closed.size();
      scene.pass(4 * SECOND);
      scene.take("idle" + round, SAFE);
      final boolean fresh = scene.closed.size() > closed;
      scene.pass(2 * SECOND);
      outstanding().forEach(id -> scene.end(id, fresh ? Result.DELIVERED : Result.TIMED_OUT));
      scene.pass(1500 * MS);
      outstanding().forEach(id -> scene.end(id, Result.DELIVERED));
    }
    assertTrue(scene.closed.size() >= 2, "closed: " + scene.closed);
  }

  /**
   * Untouched scores at size: idle connections of fifty couriers filled endpoints that take six to
   * sixteen.
   */
  @Test
  void manyCouriersDoNotKeepIdleConnections() {
    final Scene many = Scene.withTwoEndpoints(Scene.fleetOf(50));
    many.take("m", SAFE);
    many.pass(200 * MS);
    many.end("m", Result.DELIVERED);
    assertEquals(List.of(many.last("m").endpoint()), many.closed);
    scene.take("m", SAFE);
    scene.pass(200 * MS);
    scene.end("m", Result.DELIVERED);
    assertEquals(List.of(), scene.closed, "a small fleet keeps them");
  }

  /**
   * Days of slow partners on port-louis-main: calls called off were read as dead idle connections.
   */
  @Test
  void aCallThatWeCalledOffDoesNotMakeIdleConnectionsSuspect() {
    final Scene two = new Scene(Scene.settings(2, 1, false, false));
    two.list(
        Update.RESTORED,
        Scene.endpoint(1, DEST, "a"),
        Scene.endpoint(2, DEST + 1, "a"),
        Scene.endpoint(3, DEST + 2, "a"));
    two.take("warm", SAFE);
    two.pass(200 * MS);
    two.end("warm", Result.DELIVERED);
    two.pass(4 * SECOND);
    two.take("slow", SAFE);
    two.takeFor("slow2", SAFE, DEST + 1);
    two.pass(4 * SECOND);
    two.takeFor("other", SAFE, DEST + 2);
    assertEquals(List.of("slow/0"), two.cancelled, "a slot was wanted");
    two.end("slow", Result.CANCELLED);
    two.pass(200 * MS);
    two.end("other", Result.DELIVERED);
    two.pass(3 * SECOND);
    two.takeFor("again", SAFE, DEST + 2);
    two.pass(10 * MS);
    assertEquals(List.of(), two.closed, "no idle connection is given up for it");
  }

  /**
   * Clumps on the quiet day of sfax-lab-later: a lane met once a minute has had no steps to grow
   * in.
   */
  @Test
  void aRareLaneOfALargeFleetStartsWithAWiderWindow() {
    final Scene many = Scene.withTwoEndpoints(Scene.fleetOf(50));
    for (int index = 0; index < 10; index++) {
      many.take("m" + index, SAFE);
      scene.take("m" + index, SAFE);
    }
    assertEquals(4, many.sent.size());
    assertEquals(2, scene.sent.size());
  }

  /** Incident i6a814b: trials of hundreds of couriers pushed returning destinations over. */
  @Test
  void theTrialsOfManyCouriersStayUnderTwoThirdsOfThePushOnAReturningDestination() {
    final int couriers = 120;
    final double arrivals = 3;
    final List<Scene> fleet = new ArrayList<>();
    for (int index = 0; index < couriers; index++) {
      final Scene one = new Scene(Scene.fleetOf(couriers), Scene.seed(index));
      one.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"), Scene.endpoint(2, DEST, "b"));
      one.pass((long) (index / arrivals * SECOND));
      one.take("m" + index, SAFE, null, 60 * SECOND);
      fleet.add(one);
    }
    final long fromUs = 25 * SECOND;
    final long untilUs = 45 * SECOND;
    int trials = 0;
    for (final Scene one : fleet) {
      while (one.nowUs < untilUs) {
        failOutstanding(one);
        one.pass(100 * MS);
      }
      final long firstUs = one.sent.get(0).atUs();
      trials =
          (int)
              (trials
                  + one.sent.stream()
                      .filter(
                          send ->
                              send.atUs() >= fromUs
                                  && send.atUs() < untilUs
                                  && send.atUs() > firstUs + 2 * SECOND)
                      .count());
    }
    // The rule's own bound: two thirds of the push from those who saw the outage, where first calls
    // of the others
    // bring as much as arrives. (The tipping rate alone would be 24 of the 120: couriers are
    // younger than outages.)
    final double most = 2 * arrivals * (untilUs - fromUs) / SECOND;
    assertTrue(trials > 0 && trials <= most, trials + " trials, at most " + most);
  }

  /**
   * Incident i6a814b: all couriers that were told when a shut destination opens came at that
   * moment.
   */
  @Test
  void couriersToldTheSameWaitDoNotComeBackAtTheSameMoment() {
    final List<Long> returns = new ArrayList<>();
    for (int seed = 0; seed < 30; seed++) {
      final Scene one = new Scene(Scene.fleetOf(50), Scene.seed(seed));
      one.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
      one.take("m", SAFE);
      one.end("m", Result.REFUSED, 4 * SECOND);
      one.pass(3999 * MS);
      assertEquals(1, one.count("m"), "the wait is heeded");
      one.pass(10 * SECOND);
      if (one.count("m") > 1) {
        returns.add(one.last("m").atUs());
      }
    }
    assertTrue(returns.size() >= 8, "some look soon: " + returns.size());
    final long first = returns.stream().mapToLong(Long::longValue).min().orElseThrow();
    final long together = returns.stream().filter(at -> at < first + SECOND).count();
    assertTrue(
        together <= returns.size() / 2, together + " of " + returns.size() + " within a second");
  }

  @Test
  void anEndpointThatFailsOneClassKeepsServingTheOthers() {
    for (int round = 0; round < 30; round++) {
      scene.take("keyed" + round, KEYED);
      scene.take("safe" + round, SAFE);
      scene.pass(300 * MS);
      outstanding()
          .forEach(
              id ->
                  scene.end(
                      id,
                      id.startsWith("keyed") && scene.last(id).endpoint() == 1
                          ? Result.RESET
                          : Result.DELIVERED));
      outstanding().forEach(id -> scene.end(id, Result.DELIVERED));
    }
    final long sick =
        scene.sent.stream().filter(s -> s.endpoint() == 1 && s.id().startsWith("keyed")).count();
    final long well =
        scene.sent.stream().filter(s -> s.endpoint() == 1 && s.id().startsWith("safe")).count();
    assertTrue(sick <= 6, "sparing tries of the failing class: " + sick);
    assertTrue(well >= 2 * sick, "the other class goes on there: " + well);
  }

  /** A hung destination returns nothing, and Table I alone would let its window grow. */
  @Test
  void aSilentDestinationIsReadAsAnOutage() {
    serveFor(1);
    for (int index = 0; index < 20; index++) {
      scene.take("m" + index, SAFE, null, 60 * SECOND);
    }
    final int before = scene.sent.size();
    scene.pass(12 * SECOND);
    assertTrue(
        scene.sent.size() - before <= 4, "sends into silence: " + (scene.sent.size() - before));
  }

  /** Couriers share nothing: after refusals, bursts into one counted span are spread out. */
  @Test
  void sendsAreSpacedAfterAStepWithRefusals() {
    serveFor(5);
    for (int index = 0; index < 30; index++) {
      scene.take("m" + index, SAFE);
    }
    outstanding().forEach(id -> scene.end(id, Result.REFUSED));
    scene.pass(2 * SECOND);
    final int before = scene.sent.size();
    for (int tenth = 0; tenth < 5; tenth++) {
      outstanding().forEach(id -> scene.end(id, Result.DELIVERED));
      scene.pass(100 * MS);
    }
    final int sent = scene.sent.size() - before;
    assertTrue(sent <= 8, "no burst: " + sent);
  }

  @Test
  void aToldLimitBoundsTheRateOfSendsFromTheStart() {
    final Scene told = Scene.withTwoEndpoints(Scene.told());
    told.take("first", SAFE);
    told.end("first", Result.DELIVERED);
    told.take("second", SAFE);
    assertEquals(0, told.count("second"), "one call a second is told");
    told.pass(1100 * MS);
    assertEquals(1, told.count("second"));
  }

  @Test
  void messagesThatWaitTogetherShareACall() {
    final Scene shared = new Scene(Scene.settings(16, 5, false, false));
    for (int index = 0; index < 5; index++) {
      shared.take("m" + index, SAFE);
    }
    shared.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
    assertEquals(5, shared.sent.size());
  }

  @Test
  void theStoreIsNeverFullAtTheDoor() {
    final Scene empty = new Scene(Scene.settings());
    for (int index = 0; index < 60; index++) {
      empty.take("m" + index, index % 2 == 0 ? SAFE : KEYED);
      assertTrue(index + 1 - empty.refused.size() < 40);
    }
    assertTrue(
        empty.refused.stream().allMatch(id -> Integer.parseInt(id.substring(1)) % 2 == 1),
        "what has least to gain is refused");
  }

  @Test
  void theListIsFollowedOnceAndAgainWithBackOffAfterALoss() {
    final Scene asking = new Scene(Scene.settings(16, 1, false, true));
    asking.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
    assertEquals(1, asking.follows);
    asking.list(Update.CHANGES);
    asking.pass(30 * SECOND);
    assertEquals(1, asking.follows);
    asking.list(Update.LOST);
    assertEquals(1, asking.follows, "not at once");
    asking.pass(2 * SECOND);
    assertEquals(2, asking.follows);
  }

  @Test
  void anExpiredMessageAndItsLateOutcomeAreIgnored() {
    scene.take("m", SAFE);
    scene.control.onExpired(scene.nowUs, "m");
    scene.end("m", Result.TIMED_OUT);
    scene.control.onExpired(scene.nowUs, "m");
    scene.pass(20 * SECOND);
    assertEquals(1, scene.count("m"));
    assertTrue(scene.refused.isEmpty() && scene.failed.isEmpty());
  }

  @Test
  void theSameEventsGiveTheSameActions() {
    final Scene twin = Scene.withTwoEndpoints(Scene.settings());
    for (final Scene one : List.of(scene, twin)) {
      for (int index = 0; index < 10; index++) {
        one.take("m" + index, SAFE);
      }
      one.pass(5 * SECOND);
    }
    assertEquals(scene.sent, twin.sent);
  }

  private List<String> outstanding() {
    return outstandingOf(scene);
  }

  private final List<Scene.Sent> ended = new ArrayList<>();

  private List<String> outstandingOf(final Scene of) {
    final List<String> open = new ArrayList<>();
    for (final Scene.Sent sent : List.copyOf(of.sent)) {
      if (ended.stream().noneMatch(end -> end == sent)) {
        ended.add(sent);
        open.add(sent.id());
      }
    }
    return open;
  }

  private static void failOutstanding(final Scene one) {
    one.sent.stream()
        .map(Scene.Sent::id)
        .distinct()
        .filter(id -> one.count(id) > one.ended(id))
        .toList()
        .forEach(id -> one.end(id, Result.NO_CONNECTION));
  }

  private void failFor(final int seconds) {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      outstanding().forEach(id -> scene.end(id, Result.NO_CONNECTION));
      scene.pass(100 * MS);
    }
  }

  private void serveFor(final int seconds) {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      scene.take("served" + scene.nowUs, SAFE);
      scene.pass(100 * MS);
      outstanding().forEach(id -> scene.end(id, Result.DELIVERED));
    }
  }

  private static void resume(
      final Scene scene, final String id, final int kind, final Courier.Past past) {
    scene.control.onResumed(
        scene.nowUs,
        new Courier.Message(id, kind, -1, null, scene.nowUs + 16 * Scene.SECOND, Scene.DEST),
        past);
    scene.control.decide(scene.nowUs);
  }

  @Test
  void aResumedMessageKeepsWhatBecameOfItBefore() {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    resume(scene, "safe", 0, new Courier.Past(1, true, scene.nowUs - Scene.SECOND, "a"));
    assertEquals(1, scene.count("safe"), "a safe one may go again");
    resume(scene, "spent", 0, new Courier.Past(8, true, scene.nowUs - Scene.SECOND, "a"));
    assertEquals(0, scene.count("spent"), "its attempts are used up");
    resume(scene, "forgotten", 1, new Courier.Past(1, true, scene.nowUs - 6 * Scene.SECOND, "a"));
    assertEquals(0, scene.count("forgotten"), "its key may be forgotten");
    resume(scene, "unsafe", 2, new Courier.Past(1, true, scene.nowUs - Scene.SECOND, "a"));
    assertEquals(0, scene.count("unsafe"), "it may have run");
    assertEquals(List.of("unsafe"), scene.failed);
    assertEquals(List.of("spent", "forgotten"), scene.refused);
  }

  @Test
  void nothingIsBegunThatAStopWouldCutOff() {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    scene.control.onStopping(scene.nowUs, scene.nowUs + Scene.MS);
    scene.take("late", 0);
    assertEquals(0, scene.count("late"));
    assertTrue(
        scene.refused.isEmpty() && scene.failed.isEmpty(), "the next process goes on with it");
    scene.control.onStopping(scene.nowUs, scene.nowUs + 10 * Scene.SECOND);
    scene.pass(Scene.SECOND);
    assertEquals(1, scene.count("late"));
  }
}
