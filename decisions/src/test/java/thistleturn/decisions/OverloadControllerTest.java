package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistleturn.decisions.ScriptedController.DESTINATION;
import static thistleturn.decisions.ScriptedController.MS;
import static thistleturn.decisions.ScriptedController.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/** The decisions, by behaviour: the table, each rule, each failure found. */
final class OverloadControllerTest {
  private static final int SAFE = 0;
  private static final int KEYED = 1;
  private static final int UNSAFE = 2;
  private static final int TURN = 3;
  private static final int ZONED = 4;

  private final ScriptedController scripted =
      ScriptedController.withTwoEndpoints(ScriptedController.settings());

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
  void windowChange_atMembershipPeaks_matchesTableCell(
      final double latency, final double refusal, final double change) {
    assertEquals(change, FuzzyRuleTable.windowChange(latency, refusal), 1e-9);
  }

  @Test
  void windowChange_staysWithinRangeOfPaper() {
    for (int row = 0; row <= 20; row++) {
      for (int column = 0; column <= 20; column++) {
        final double change = FuzzyRuleTable.windowChange(row / 20.0, column / 20.0);
        assertTrue(change >= -0.6 && change <= 0.4, row + "," + column + ": " + change);
      }
    }
  }

  @Test
  void window_boundsCallsInFlightAndGrowsWithSuccessfulSteps() {
    for (int index = 0; index < 10; index++) {
      scripted.accept("m" + index, SAFE);
    }
    assertEquals(2, scripted.sentCalls.size(), "a new lane's window");
    serveFor(10);
    final long before = scripted.sentCalls.size();
    for (int index = 0; index < 30; index++) {
      scripted.accept("late" + index, SAFE);
    }
    final long inFlight = scripted.sentCalls.size() - before;
    assertTrue(
        inFlight > 2 && inFlight <= 12, "grown, at most three quarters of 16 slots: " + inFlight);
  }

  @Test
  void rejections_shrinkWindowToMinimumButNotBelow() {
    for (int round = 0; round < 12; round++) {
      scripted.accept("m" + round, SAFE);
      scripted.advance(SECOND);
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.REFUSED));
    }
    scripted.advance(20 * SECOND);
    assertTrue(outstanding().size() <= 1, "one call at a time at the floor");
    assertTrue(scripted.sentCalls.size() > 3, "and still trying");
  }

  @Test
  void everyMessage_endsExactlyOnceBeforeItsDeadline() {
    final ScriptedController empty = new ScriptedController(ScriptedController.settings());
    empty.accept("lonely", SAFE);
    empty.advance(15 * SECOND);
    assertTrue(empty.shedMessages.isEmpty(), "a destination without endpoints may get one yet");
    empty.advance(SECOND);
    assertEquals(List.of("lonely"), empty.shedMessages);
    empty.advance(5 * SECOND);
    assertEquals(1, empty.shedMessages.size());
  }

  @Test
  void idempotentMessage_isRetriedAfterReset() {
    scripted.accept("m", SAFE);
    scripted.endAttempt("m", AttemptResult.RESET);
    scripted.advance(3 * SECOND);
    assertEquals(2, scripted.attempts("m"));
  }

  /**
   * Connections that were dead before their calls say nothing of their endpoints, however many
   * there are.
   */
  @Test
  void staleConnections_doNotMakeEndpointAvoided() {
    for (int index = 0; index < 12; index++) {
      scripted.accept("m" + index, SAFE);
      scripted.endAttempt("m" + index, AttemptResult.STALE);
      assertEquals(2, scripted.attempts("m" + index), "goes again at once");
      scripted.endAttempt("m" + index, AttemptResult.DELIVERED);
    }
    assertEquals("WELL", scripted.controller.routes().get(0).circuitState());
    assertTrue(
        scripted.endpointsClosedIdle.size() >= 12,
        "those like it are closed: " + scripted.endpointsClosedIdle);
  }

  @Test
  void nonIdempotentMessageOnStaleConnection_mayHaveExecuted() {
    scripted.accept("pay", UNSAFE);
    scripted.endAttempt("pay", AttemptResult.STALE);
    assertEquals(List.of("pay"), scripted.failedMessages);
    assertEquals(1, scripted.attempts("pay"));
  }

  @Test
  void nonIdempotentMessageThatMayHaveExecuted_isNeitherRetriedNorShed() {
    scripted.accept("pay", UNSAFE);
    scripted.endAttempt("pay", AttemptResult.RESET);
    assertEquals(List.of("pay"), scripted.failedMessages);
    scripted.advance(20 * SECOND);
    assertEquals(1, scripted.attempts("pay"));
    assertTrue(scripted.shedMessages.isEmpty());
  }

  @Test
  void nonIdempotentMessageThatNeverExecuted_isRetried() {
    scripted.accept("pay", UNSAFE);
    scripted.endAttempt("pay", AttemptResult.NO_CONNECTION);
    scripted.advance(2 * SECOND);
    assertEquals(2, scripted.attempts("pay"));
  }

  @Test
  void nonIdempotentAttempt_mayTakeUntilMessageDeadline() {
    scripted.accept("pay", UNSAFE);
    assertEquals(16 * SECOND, scripted.lastCall("pay").timeoutUs());
  }

  @Test
  void keyedMessage_isRetriedOnlyWithinIdempotencyWindow() {
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    scripted.accept("m", KEYED);
    final long first = scripted.nowUs;
    scripted.endAttempt("m", AttemptResult.ERROR);
    assertEquals(2, scripted.attempts("m"));
    scripted.endAttempt("m", AttemptResult.REFUSED, 10 * SECOND);
    scripted.advance(8 * SECOND);
    assertEquals(2, scripted.attempts("m"), "the wait ends after the window");
    assertEquals(List.of("m"), scripted.shedMessages);
    assertTrue(scripted.lastCall("m").atUs() - first <= 6 * SECOND);
  }

  @Test
  void keyedAttempt_timesOutEarlyEnoughForRetry() {
    scripted.accept("m", KEYED);
    assertTrue(scripted.lastCall("m").timeoutUs() <= 5500 * MS, "inside the window of six seconds");
  }

  @Test
  void zoneKeyedMessageThatMayHaveExecuted_staysInItsZoneAndIsNeverShed() {
    scripted.accept("m", ZONED);
    final long endpoint = scripted.lastCall("m").endpoint();
    scripted.endAttempt("m", AttemptResult.RESET);
    scripted.advance(20 * SECOND);
    assertTrue(scripted.sentCalls.stream().allMatch(sent -> sent.endpoint() == endpoint));
    assertTrue(scripted.shedMessages.isEmpty());
  }

  @Test
  void message_neverHasTwoConcurrentAttempts() {
    scripted.accept("m", SAFE);
    scripted.advance(10 * SECOND);
    assertEquals(1, scripted.attempts("m"), "overdue, but not over");
  }

  @Test
  void drainingOrRemovedEndpoint_getsNoNewCalls() {
    scripted.applyEndpointList(
        EndpointUpdate.CHANGES, ScriptedController.endpointInState(EndpointState.DRAINING, 1));
    for (int index = 0; index < 4; index++) {
      scripted.accept("m" + index, SAFE);
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    assertTrue(scripted.sentCalls.stream().allMatch(sent -> sent.endpoint() == 2));
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(3, DESTINATION, "a"));
    final int before = scripted.sentCalls.size();
    scripted.accept("after", SAFE);
    assertEquals(3, scripted.sentCalls.get(before).endpoint(), "missing from a whole list is gone");
  }

  @Test
  void retryAfter_holdsBackWholeDestination() {
    scripted.accept("m", SAFE);
    scripted.reportOutcome("m", AttemptResult.REFUSED, 1500 * MS);
    scripted.accept("other", KEYED);
    scripted.advance(1499 * MS);
    assertEquals(1, scripted.sentCalls.size());
    scripted.advance(2500 * MS);
    assertTrue(scripted.sentCalls.size() > 1);
  }

  @Test
  void retryAfterWithSeparateRoutes_holdsBackOnlyItsRoute() {
    final ScriptedController apart =
        ScriptedController.withTwoEndpoints(ScriptedController.settings(16, 1, true, false));
    apart.accept("m", SAFE);
    final long first = apart.lastCall("m").endpoint();
    apart.endAttempt("m", AttemptResult.REFUSED, 1500 * MS);
    assertEquals(2, apart.attempts("m"));
    assertNotEquals(first, apart.lastCall("m").endpoint());
  }

  @Test
  void routeListedAgain_keepsItsRetryAfter() {
    final ScriptedController apart =
        new ScriptedController(ScriptedController.settings(16, 1, true, false));
    apart.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    apart.accept("m", SAFE);
    apart.endAttempt("m", AttemptResult.REFUSED, 5 * SECOND);
    apart.applyEndpointList(EndpointUpdate.COMPLETE_SNAPSHOT);
    apart.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    apart.advance(4900 * MS);
    assertEquals(1, apart.attempts("m"));
    apart.advance(6 * SECOND);
    assertEquals(2, apart.attempts("m"));
  }

  @Test
  void emptiedKey_startsAfresh() {
    scripted.accept("first", TURN, "k", 16 * SECOND);
    scripted.endAttempt("first", AttemptResult.DELIVERED);
    scripted.advance(3 * SECOND);
    scripted.accept("second", TURN, "k", 16 * SECOND);
    assertEquals(1, scripted.attempts("second"));
  }

  @Test
  void messagesOfOneKey_goInOrderWithSettleDelayAfterUnansweredAttempt() {
    scripted.accept("first", TURN, "k", 16 * SECOND);
    scripted.accept("second", TURN, "k", 16 * SECOND);
    assertEquals(0, scripted.attempts("second"));
    scripted.endAttempt("first", AttemptResult.TIMED_OUT);
    scripted.advance(2 * SECOND);
    assertTrue(scripted.attempts("first") >= 2, "the one whose turn it is does not rest");
    assertEquals(0, scripted.attempts("second"));
    scripted.endAttempt("first", AttemptResult.DELIVERED);
    assertEquals(
        0, scripted.attempts("second"), "the key rests for three seconds from the time-out");
    scripted.advance(1100 * MS);
    assertEquals(1, scripted.attempts("second"));
  }

  @Test
  void failedDestination_getsSpacedTrialsAndRecoveryRamp() {
    for (int index = 0; index < 30; index++) {
      scripted.accept("m" + index, SAFE, null, 60 * SECOND);
    }
    failFor(20);
    final int before = scripted.sentCalls.size();
    failFor(20);
    final int trials = scripted.sentCalls.size() - before;
    assertTrue(trials >= 3 && trials <= 12, "trials in 20 s: " + trials);
    final int returned = scripted.sentCalls.size();
    serveFor(2);
    assertTrue(scripted.sentCalls.size() - returned <= 3, "no rush at a cold destination");
  }

  /** A route apart, and a destination that a message made up, are not kept for good. */
  @Test
  void longUnusedDestination_isRemoved() {
    final ScriptedController apart =
        new ScriptedController(ScriptedController.settings(16, 1, true, false));
    apart.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    apart.accept("m", SAFE);
    apart.endAttempt("m", AttemptResult.DELIVERED);
    apart.acceptFor("nowhere", SAFE, 99);
    assertEquals(2, apart.controller.destinationCount());
    apart.applyEndpointList(
        EndpointUpdate.CHANGES, ScriptedController.endpointInState(EndpointState.GONE, 1));
    apart.advance(50 * SECOND);
    assertEquals(
        1,
        apart.controller.destinationCount(),
        "only the route's wait and outage are still of use");
    apart.advance(15 * SECOND);
    assertEquals(0, apart.controller.destinationCount());
  }

  /**
   * An outage belongs to the endpoints that had it: the machine that replaces them is tried at
   * once.
   */
  @Test
  void newEndpointOfOpenCircuit_isTriedAtOnce() {
    for (int index = 0; index < 10; index++) {
      scripted.accept("m" + index, SAFE, null, 60 * SECOND);
    }
    failFor(30);
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(3, DESTINATION, "a"));
    assertTrue(
        scripted.sentCalls.stream()
            .anyMatch(send -> send.endpoint() == 3 && send.atUs() == scripted.nowUs));
  }

  /**
   * Seen on sockets: endpoints closed kept connections at their next use, and were taken for sick.
   */
  @Test
  void resetOnReusedConnection_closesIdleOnesWithoutFault() {
    final ScriptedController one = new ScriptedController(ScriptedController.settings());
    one.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    one.accept("warm", SAFE);
    one.endAttempt("warm", AttemptResult.DELIVERED);
    one.accept("m", SAFE);
    one.endAttempt("m", AttemptResult.RESET);
    assertEquals(List.of(1L), one.endpointsClosedIdle);
    assertEquals(2, one.attempts("m"), "it goes again at once, over a new connection");
    one.endAttempt("m", AttemptResult.RESET);
    assertEquals(2, one.attempts("m"), "a new one that is reset is the endpoint's fault");
  }

  /**
   * Seen on sockets: a refused call of five counted five times, and two of them passed for an
   * outage.
   */
  @Test
  void rejectedBatch_countsAsOneRejection() {
    final ScriptedController shared =
        new ScriptedController(ScriptedController.settings(16, 5, false, false));
    shared.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    for (int index = 0; index < 7; index++) {
      shared.accept("m" + index, SAFE);
    }
    for (int round = 0; round < 3; round++) {
      final List<String> out =
          shared.sentCalls.stream()
              .map(ScriptedController.SentCall::id)
              .distinct()
              .filter(id -> shared.attempts(id) > shared.endedAttempts(id))
              .toList();
      out.forEach(id -> shared.reportOutcome(id, AttemptResult.REFUSED, 100 * MS));
      shared.controller.decide(shared.nowUs);
      shared.advance(1500 * MS);
    }
    final long lastUs = shared.sentCalls.get(shared.sentCalls.size() - 1).atUs();
    assertEquals(
        5,
        shared.sentCalls.stream().filter(send -> send.atUs() == lastUs).count(),
        "not a lone trial");
  }

  /**
   * Seen on sockets: after a false outage a destination that takes five in a call got one for nine
   * seconds.
   */
  @Test
  void recoveringDestination_isServedInBatches() {
    final ScriptedController shared =
        new ScriptedController(ScriptedController.settings(16, 5, false, false));
    shared.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    for (int index = 0; index < 30; index++) {
      shared.accept("m" + index, SAFE, null, 60 * SECOND);
    }
    for (int step = 0; step < 200; step++) {
      final boolean back = step >= 100;
      for (final String id :
          shared.sentCalls.stream()
              .map(ScriptedController.SentCall::id)
              .distinct()
              .filter(id -> shared.attempts(id) > shared.endedAttempts(id))
              .toList()) {
        shared.endAttempt(id, back ? AttemptResult.DELIVERED : AttemptResult.NO_CONNECTION);
      }
      shared.advance(100 * MS);
    }
    final var calls =
        shared.sentCalls.stream()
            .filter(send -> send.atUs() > 18 * SECOND)
            .collect(
                java.util.stream.Collectors.groupingBy(
                    ScriptedController.SentCall::atUs, java.util.stream.Collectors.counting()));
    assertTrue(calls.values().stream().anyMatch(count -> count == 5), calls.toString());
  }

  @Test
  void trial_usesNonIdempotentMessageLast() {
    for (int index = 0; index < 4; index++) {
      scripted.accept("m" + index, KEYED);
    }
    failFor(1);
    scripted.accept("pay", UNSAFE);
    scripted.accept("other", KEYED);
    final int before = scripted.sentCalls.size();
    failFor(10);
    assertTrue(scripted.sentCalls.size() > before, "trials were made");
    assertEquals(0, scripted.attempts("pay"));
  }

  @Test
  void oneFaultyEndpoint_isAvoidedWhileDestinationContinues() {
    for (int round = 0; round < 40; round++) {
      scripted.accept("m" + round, SAFE);
      outstanding()
          .forEach(
              id ->
                  scripted.endAttempt(
                      id,
                      scripted.lastCall(id).endpoint() == 1
                          ? AttemptResult.NO_CONNECTION
                          : AttemptResult.DELIVERED));
      scripted.advance(200 * MS);
    }
    final long sick = scripted.sentCalls.stream().filter(sent -> sent.endpoint() == 1).count();
    assertTrue(sick <= 6, "sends to the sick endpoint: " + sick);
    assertTrue(scripted.sentCalls.size() >= 40);
  }

  /**
   * Incident: hung calls took every slot of couriers with few, and healthy destinations starved.
   */
  @Test
  void overdueCall_isCancelledWhenCapacityIsNeeded() {
    final ScriptedController tight =
        new ScriptedController(ScriptedController.settings(1, 1, false, false));
    tight.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(1, DESTINATION, "a"),
        ScriptedController.endpoint(9, 99, "a"));
    tight.accept("hung", UNSAFE);
    tight.controller.onMessage(
        tight.nowUs, new Message("other", SAFE, -1, null, tight.nowUs + 16 * SECOND, 99));
    tight.advance(5 * SECOND);
    assertEquals(List.of("hung/0"), tight.cancelledAttempts);
    tight.endAttempt("hung", AttemptResult.CANCELLED);
    assertEquals(List.of("hung"), tight.failedMessages);
    assertEquals(1, tight.attempts("other"));
  }

  /**
   * Incident: idle connections were dropped on their way, and calls over them went silent
   * everywhere.
   */
  @Test
  void idleConnections_areClosedBeforeUseAfterUnansweredCalls() {
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    for (int round = 0; round < 12; round++) {
      scripted.accept("warm" + round, SAFE);
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    assertTrue(scripted.endpointsClosedIdle.isEmpty());
    for (int round = 0; round < 6; round++) {
      final int closed = scripted.endpointsClosedIdle.size();
      scripted.advance(4 * SECOND);
      scripted.accept("idle" + round, SAFE);
      final boolean fresh = scripted.endpointsClosedIdle.size() > closed;
      scripted.advance(2 * SECOND);
      outstanding()
          .forEach(
              id ->
                  scripted.endAttempt(
                      id, fresh ? AttemptResult.DELIVERED : AttemptResult.TIMED_OUT));
      scripted.advance(1500 * MS);
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    assertTrue(scripted.endpointsClosedIdle.size() >= 2, "closed: " + scripted.endpointsClosedIdle);
  }

  /**
   * Untouched scores at size: idle connections of fifty couriers filled endpoints that take six to
   * sixteen.
   */
  @Test
  void largeFleet_keepsNoIdleConnections() {
    final ScriptedController many =
        ScriptedController.withTwoEndpoints(ScriptedController.fleetOf(50));
    many.accept("m", SAFE);
    many.advance(200 * MS);
    many.endAttempt("m", AttemptResult.DELIVERED);
    assertEquals(List.of(many.lastCall("m").endpoint()), many.endpointsClosedIdle);
    scripted.accept("m", SAFE);
    scripted.advance(200 * MS);
    scripted.endAttempt("m", AttemptResult.DELIVERED);
    assertEquals(List.of(), scripted.endpointsClosedIdle, "a small fleet keeps them");
  }

  /**
   * Days of slow partners on port-louis-main: calls called off were read as dead idle connections.
   */
  @Test
  void cancelledCall_doesNotReduceTrustInIdleConnections() {
    final ScriptedController two =
        new ScriptedController(ScriptedController.settings(2, 1, false, false));
    two.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(1, DESTINATION, "a"),
        ScriptedController.endpoint(2, DESTINATION + 1, "a"),
        ScriptedController.endpoint(3, DESTINATION + 2, "a"));
    two.accept("warm", SAFE);
    two.advance(200 * MS);
    two.endAttempt("warm", AttemptResult.DELIVERED);
    two.advance(4 * SECOND);
    two.accept("slow", SAFE);
    two.acceptFor("slow2", SAFE, DESTINATION + 1);
    two.advance(4 * SECOND);
    two.acceptFor("other", SAFE, DESTINATION + 2);
    assertEquals(List.of("slow/0"), two.cancelledAttempts, "a slot was wanted");
    two.endAttempt("slow", AttemptResult.CANCELLED);
    two.advance(200 * MS);
    two.endAttempt("other", AttemptResult.DELIVERED);
    two.advance(3 * SECOND);
    two.acceptFor("again", SAFE, DESTINATION + 2);
    two.advance(10 * MS);
    assertEquals(List.of(), two.endpointsClosedIdle, "no idle connection is given up for it");
  }

  /**
   * Clumps on the quiet day of sfax-lab-later: a lane met once a minute has had no steps to grow
   * in.
   */
  @Test
  void routeOfLargeFleet_startsWithWiderWindow() {
    final ScriptedController many =
        ScriptedController.withTwoEndpoints(ScriptedController.fleetOf(50));
    for (int index = 0; index < 10; index++) {
      many.accept("m" + index, SAFE);
      scripted.accept("m" + index, SAFE);
    }
    assertEquals(4, many.sentCalls.size());
    assertEquals(2, scripted.sentCalls.size());
  }

  /** Incident i6a814b: trials of hundreds of couriers pushed returning destinations over. */
  @Test
  void trialsOfManyCouriers_stayUnderTwoThirdsOfOverloadThreshold() {
    final int couriers = 120;
    final double arrivals = 3;
    final List<ScriptedController> fleet = new ArrayList<>();
    for (int index = 0; index < couriers; index++) {
      final ScriptedController one =
          new ScriptedController(
              ScriptedController.fleetOf(couriers), ScriptedController.seed(index));
      one.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT,
          ScriptedController.endpoint(1, DESTINATION, "a"),
          ScriptedController.endpoint(2, DESTINATION, "b"));
      one.advance((long) (index / arrivals * SECOND));
      one.accept("m" + index, SAFE, null, 60 * SECOND);
      fleet.add(one);
    }
    final long fromUs = 25 * SECOND;
    final long untilUs = 45 * SECOND;
    int trials = 0;
    for (final ScriptedController one : fleet) {
      while (one.nowUs < untilUs) {
        failOutstanding(one);
        one.advance(100 * MS);
      }
      final long firstUs = one.sentCalls.get(0).atUs();
      trials =
          (int)
              (trials
                  + one.sentCalls.stream()
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
  void couriersWithSameRetryAfter_doNotReturnTogether() {
    final List<Long> returns = new ArrayList<>();
    for (int seed = 0; seed < 30; seed++) {
      final ScriptedController one =
          new ScriptedController(ScriptedController.fleetOf(50), ScriptedController.seed(seed));
      one.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
      one.accept("m", SAFE);
      one.endAttempt("m", AttemptResult.REFUSED, 4 * SECOND);
      one.advance(3999 * MS);
      assertEquals(1, one.attempts("m"), "the wait is heeded");
      one.advance(10 * SECOND);
      if (one.attempts("m") > 1) {
        returns.add(one.lastCall("m").atUs());
      }
    }
    assertTrue(returns.size() >= 8, "some look soon: " + returns.size());
    final long first = returns.stream().mapToLong(Long::longValue).min().orElseThrow();
    final long together = returns.stream().filter(at -> at < first + SECOND).count();
    assertTrue(
        together <= returns.size() / 2, together + " of " + returns.size() + " within a second");
  }

  @Test
  void endpointFailingOneClass_keepsServingOthers() {
    for (int round = 0; round < 30; round++) {
      scripted.accept("keyed" + round, KEYED);
      scripted.accept("safe" + round, SAFE);
      scripted.advance(300 * MS);
      outstanding()
          .forEach(
              id ->
                  scripted.endAttempt(
                      id,
                      id.startsWith("keyed") && scripted.lastCall(id).endpoint() == 1
                          ? AttemptResult.RESET
                          : AttemptResult.DELIVERED));
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    final long sick =
        scripted.sentCalls.stream()
            .filter(s -> s.endpoint() == 1 && s.id().startsWith("keyed"))
            .count();
    final long well =
        scripted.sentCalls.stream()
            .filter(s -> s.endpoint() == 1 && s.id().startsWith("safe"))
            .count();
    assertTrue(sick <= 6, "sparing tries of the failing class: " + sick);
    assertTrue(well >= 2 * sick, "the other class goes on there: " + well);
  }

  /** A hung destination returns nothing, and Table I alone would let its window grow. */
  @Test
  void unresponsiveDestination_opensCircuit() {
    serveFor(1);
    for (int index = 0; index < 20; index++) {
      scripted.accept("m" + index, SAFE, null, 60 * SECOND);
    }
    final int before = scripted.sentCalls.size();
    scripted.advance(12 * SECOND);
    assertTrue(
        scripted.sentCalls.size() - before <= 4,
        "sends into silence: " + (scripted.sentCalls.size() - before));
  }

  /** Couriers share nothing: after refusals, bursts into one counted span are spread out. */
  @Test
  void sends_arePacedAfterStepWithRejections() {
    serveFor(5);
    for (int index = 0; index < 30; index++) {
      scripted.accept("m" + index, SAFE);
    }
    outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.REFUSED));
    scripted.advance(2 * SECOND);
    final int before = scripted.sentCalls.size();
    for (int tenth = 0; tenth < 5; tenth++) {
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
      scripted.advance(100 * MS);
    }
    final int sent = scripted.sentCalls.size() - before;
    assertTrue(sent <= 8, "no burst: " + sent);
  }

  @Test
  void reportedLimit_boundsSendRateFromStart() {
    final ScriptedController told =
        ScriptedController.withTwoEndpoints(ScriptedController.withReportedLimit());
    told.accept("first", SAFE);
    told.endAttempt("first", AttemptResult.DELIVERED);
    told.accept("second", SAFE);
    assertEquals(0, told.attempts("second"), "one call a second is told");
    told.advance(1100 * MS);
    assertEquals(1, told.attempts("second"));
  }

  @Test
  void messagesWaitingTogether_shareOneCall() {
    final ScriptedController shared =
        new ScriptedController(ScriptedController.settings(16, 5, false, false));
    for (int index = 0; index < 5; index++) {
      shared.accept("m" + index, SAFE);
    }
    shared.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    assertEquals(5, shared.sentCalls.size());
  }

  @Test
  void messageStore_neverFillsCompletely() {
    final ScriptedController empty = new ScriptedController(ScriptedController.settings());
    for (int index = 0; index < 60; index++) {
      empty.accept("m" + index, index % 2 == 0 ? SAFE : KEYED);
      assertTrue(index + 1 - empty.shedMessages.size() < 40);
    }
    assertTrue(
        empty.shedMessages.stream().allMatch(id -> Integer.parseInt(id.substring(1)) % 2 == 1),
        "what has least to gain is refused");
  }

  @Test
  void endpointList_isSubscribedOnceAndAgainWithBackoffAfterLoss() {
    final ScriptedController asking =
        new ScriptedController(ScriptedController.settings(16, 1, false, true));
    asking.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    assertEquals(1, asking.subscriptions);
    asking.applyEndpointList(EndpointUpdate.CHANGES);
    asking.advance(30 * SECOND);
    assertEquals(1, asking.subscriptions);
    asking.applyEndpointList(EndpointUpdate.UNAVAILABLE);
    assertEquals(1, asking.subscriptions, "not at once");
    asking.advance(2 * SECOND);
    assertEquals(2, asking.subscriptions);
  }

  @Test
  void abandonedMessageAndItsLateOutcome_areIgnored() {
    scripted.accept("m", SAFE);
    scripted.controller.onMessageAbandoned(scripted.nowUs, "m");
    scripted.endAttempt("m", AttemptResult.TIMED_OUT);
    scripted.controller.onMessageAbandoned(scripted.nowUs, "m");
    scripted.advance(20 * SECOND);
    assertEquals(1, scripted.attempts("m"));
    assertTrue(scripted.shedMessages.isEmpty() && scripted.failedMessages.isEmpty());
  }

  @Test
  void sameEvents_giveSameActions() {
    final ScriptedController twin =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (final ScriptedController one : List.of(scripted, twin)) {
      for (int index = 0; index < 10; index++) {
        one.accept("m" + index, SAFE);
      }
      one.advance(5 * SECOND);
    }
    assertEquals(scripted.sentCalls, twin.sentCalls);
  }

  private List<String> outstanding() {
    return outstandingOf(scripted);
  }

  private final List<ScriptedController.SentCall> ended = new ArrayList<>();

  private List<String> outstandingOf(final ScriptedController of) {
    final List<String> open = new ArrayList<>();
    for (final ScriptedController.SentCall sent : List.copyOf(of.sentCalls)) {
      if (ended.stream().noneMatch(end -> end == sent)) {
        ended.add(sent);
        open.add(sent.id());
      }
    }
    return open;
  }

  private static void failOutstanding(final ScriptedController one) {
    one.sentCalls.stream()
        .map(ScriptedController.SentCall::id)
        .distinct()
        .filter(id -> one.attempts(id) > one.endedAttempts(id))
        .toList()
        .forEach(id -> one.endAttempt(id, AttemptResult.NO_CONNECTION));
  }

  private void failFor(final int seconds) {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.NO_CONNECTION));
      scripted.advance(100 * MS);
    }
  }

  private void serveFor(final int seconds) {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      scripted.accept("served" + scripted.nowUs, SAFE);
      scripted.advance(100 * MS);
      outstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
  }

  private static void resume(
      final ScriptedController scripted,
      final String id,
      final int kind,
      final PriorAttempts past) {
    scripted.controller.onMessageResumed(
        scripted.nowUs,
        new Message(
            id,
            kind,
            -1,
            null,
            scripted.nowUs + 16 * ScriptedController.SECOND,
            ScriptedController.DESTINATION),
        past);
    scripted.controller.decide(scripted.nowUs);
  }

  @Test
  void resumedMessage_keepsItsPriorAttempts() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    resume(
        scripted,
        "safe",
        0,
        new PriorAttempts(1, true, scripted.nowUs - ScriptedController.SECOND, "a"));
    assertEquals(1, scripted.attempts("safe"), "a safe one may go again");
    resume(
        scripted,
        "spent",
        0,
        new PriorAttempts(8, true, scripted.nowUs - ScriptedController.SECOND, "a"));
    assertEquals(0, scripted.attempts("spent"), "its attempts are used up");
    resume(
        scripted,
        "forgotten",
        1,
        new PriorAttempts(1, true, scripted.nowUs - 6 * ScriptedController.SECOND, "a"));
    assertEquals(0, scripted.attempts("forgotten"), "its key may be forgotten");
    resume(
        scripted,
        "unsafe",
        2,
        new PriorAttempts(1, true, scripted.nowUs - ScriptedController.SECOND, "a"));
    assertEquals(0, scripted.attempts("unsafe"), "it may have run");
    assertEquals(List.of("unsafe"), scripted.failedMessages);
    assertEquals(List.of("spent", "forgotten"), scripted.shedMessages);
  }

  @Test
  void stopping_beginsNoCallItWouldCutOff() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scripted.controller.onStopping(scripted.nowUs, scripted.nowUs + ScriptedController.MS);
    scripted.accept("late", 0);
    assertEquals(0, scripted.attempts("late"));
    assertTrue(
        scripted.shedMessages.isEmpty() && scripted.failedMessages.isEmpty(),
        "the next process goes on with it");
    scripted.controller.onStopping(scripted.nowUs, scripted.nowUs + 10 * ScriptedController.SECOND);
    scripted.advance(ScriptedController.SECOND);
    assertEquals(1, scripted.attempts("late"));
  }
}
