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

/** Tests the overload controller: the rule table, each rule, and each failure that was found. */
final class OverloadControllerTest {
  private static final int IDEMPOTENT = 0;
  private static final int IDEMPOTENT_BY_KEY = 1;
  private static final int NON_IDEMPOTENT = 2;
  private static final int ORDERED_BY_KEY = 3;
  private static final int KEY_SCOPED_TO_ZONE = 4;

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
      scripted.accept("m" + index, IDEMPOTENT);
    }
    assertEquals(2, scripted.sentCalls.size(), "the window of a new route");
    serveFor(10);
    final long before = scripted.sentCalls.size();
    for (int index = 0; index < 30; index++) {
      scripted.accept("late" + index, IDEMPOTENT);
    }
    final long inFlight = scripted.sentCalls.size() - before;
    assertTrue(
        inFlight > 2 && inFlight <= 12,
        "grown window, at most three quarters of 16 slots: " + inFlight);
  }

  @Test
  void rejections_shrinkWindowToMinimumButNotBelow() {
    for (int round = 0; round < 12; round++) {
      scripted.accept("m" + round, IDEMPOTENT);
      scripted.advance(SECOND);
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.REFUSED));
    }
    scripted.advance(20 * SECOND);
    assertTrue(takeOutstanding().size() <= 1, "one call at a time with the minimum window");
    assertTrue(scripted.sentCalls.size() > 3, "calls are still sent");
  }

  @Test
  void everyMessage_endsExactlyOnceBeforeItsDeadline() {
    final ScriptedController empty = new ScriptedController(ScriptedController.settings());
    empty.accept("m", IDEMPOTENT);
    empty.advance(15 * SECOND);
    assertTrue(empty.shedMessages.isEmpty(), "a destination without endpoints may still get one");
    empty.advance(SECOND);
    assertEquals(List.of("m"), empty.shedMessages);
    empty.advance(5 * SECOND);
    assertEquals(1, empty.shedMessages.size());
  }

  @Test
  void idempotentMessage_isRetriedAfterReset() {
    scripted.accept("m", IDEMPOTENT);
    scripted.endAttempt("m", AttemptResult.RESET);
    scripted.advance(3 * SECOND);
    assertEquals(2, scripted.attempts("m"));
  }

  /**
   * Failures of connections that were stale before their calls are no fault of their endpoints,
   * however many there are.
   */
  @Test
  void staleConnections_doNotMakeEndpointAvoided() {
    for (int index = 0; index < 12; index++) {
      scripted.accept("m" + index, IDEMPOTENT);
      scripted.endAttempt("m" + index, AttemptResult.STALE);
      assertEquals(2, scripted.attempts("m" + index), "retried at once");
      scripted.endAttempt("m" + index, AttemptResult.DELIVERED);
    }
    assertEquals("WELL", scripted.controller.routes().get(0).circuitState());
    assertTrue(
        scripted.endpointsClosedIdle.size() >= 12,
        "other idle connections are closed: " + scripted.endpointsClosedIdle);
  }

  @Test
  void nonIdempotentMessageOnStaleConnection_mayHaveExecuted() {
    scripted.accept("pay", NON_IDEMPOTENT);
    scripted.endAttempt("pay", AttemptResult.STALE);
    assertEquals(List.of("pay"), scripted.failedMessages);
    assertEquals(1, scripted.attempts("pay"));
  }

  @Test
  void nonIdempotentMessageThatMayHaveExecuted_isNeitherRetriedNorShed() {
    scripted.accept("pay", NON_IDEMPOTENT);
    scripted.endAttempt("pay", AttemptResult.RESET);
    assertEquals(List.of("pay"), scripted.failedMessages);
    scripted.advance(20 * SECOND);
    assertEquals(1, scripted.attempts("pay"));
    assertTrue(scripted.shedMessages.isEmpty());
  }

  @Test
  void nonIdempotentMessageThatNeverExecuted_isRetried() {
    scripted.accept("pay", NON_IDEMPOTENT);
    scripted.endAttempt("pay", AttemptResult.NO_CONNECTION);
    scripted.advance(2 * SECOND);
    assertEquals(2, scripted.attempts("pay"));
  }

  @Test
  void nonIdempotentAttempt_mayTakeUntilMessageDeadline() {
    scripted.accept("pay", NON_IDEMPOTENT);
    assertEquals(16 * SECOND, scripted.lastCall("pay").timeoutUs());
  }

  @Test
  void keyedMessage_isRetriedOnlyWithinIdempotencyWindow() {
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    scripted.accept("m", IDEMPOTENT_BY_KEY);
    final long first = scripted.nowUs;
    scripted.endAttempt("m", AttemptResult.ERROR);
    assertEquals(2, scripted.attempts("m"));
    scripted.endAttempt("m", AttemptResult.REFUSED, 10 * SECOND);
    scripted.advance(8 * SECOND);
    assertEquals(2, scripted.attempts("m"), "the Retry-After ends after the window of the key");
    assertEquals(List.of("m"), scripted.shedMessages);
    assertTrue(scripted.lastCall("m").atUs() - first <= 6 * SECOND);
  }

  @Test
  void keyedAttempt_timesOutEarlyEnoughForRetry() {
    scripted.accept("m", IDEMPOTENT_BY_KEY);
    assertTrue(scripted.lastCall("m").timeoutUs() <= 5500 * MS, "within the window of six seconds");
  }

  @Test
  void zoneKeyedMessageThatMayHaveExecuted_staysInItsZoneAndIsNeverShed() {
    scripted.accept("m", KEY_SCOPED_TO_ZONE);
    final long endpoint = scripted.lastCall("m").endpoint();
    scripted.endAttempt("m", AttemptResult.RESET);
    scripted.advance(20 * SECOND);
    assertTrue(scripted.sentCalls.stream().allMatch(sent -> sent.endpoint() == endpoint));
    assertTrue(scripted.shedMessages.isEmpty());
  }

  @Test
  void message_neverHasTwoConcurrentAttempts() {
    scripted.accept("m", IDEMPOTENT);
    scripted.advance(10 * SECOND);
    assertEquals(1, scripted.attempts("m"), "the overdue attempt has not ended");
  }

  @Test
  void drainingOrRemovedEndpoint_getsNoNewCalls() {
    scripted.applyEndpointList(
        EndpointUpdate.CHANGES, ScriptedController.endpointInState(EndpointState.DRAINING, 1));
    for (int index = 0; index < 4; index++) {
      scripted.accept("m" + index, IDEMPOTENT);
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    assertTrue(scripted.sentCalls.stream().allMatch(sent -> sent.endpoint() == 2));
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(3, DESTINATION, "a"));
    final int before = scripted.sentCalls.size();
    scripted.accept("after", IDEMPOTENT);
    assertEquals(
        3,
        scripted.sentCalls.get(before).endpoint(),
        "an endpoint missing in a complete snapshot is gone");
  }

  @Test
  void retryAfter_holdsBackWholeDestination() {
    scripted.accept("m", IDEMPOTENT);
    scripted.reportOutcome("m", AttemptResult.REFUSED, 1500 * MS);
    scripted.accept("other", IDEMPOTENT_BY_KEY);
    scripted.advance(1499 * MS);
    assertEquals(1, scripted.sentCalls.size());
    scripted.advance(2500 * MS);
    assertTrue(scripted.sentCalls.size() > 1);
  }

  @Test
  void retryAfterWithSeparateRoutes_holdsBackOnlyItsRoute() {
    final ScriptedController separateRoutes =
        ScriptedController.withTwoEndpoints(ScriptedController.settings(16, 1, true, false));
    separateRoutes.accept("m", IDEMPOTENT);
    final long first = separateRoutes.lastCall("m").endpoint();
    separateRoutes.endAttempt("m", AttemptResult.REFUSED, 1500 * MS);
    assertEquals(2, separateRoutes.attempts("m"));
    assertNotEquals(first, separateRoutes.lastCall("m").endpoint());
  }

  @Test
  void routeListedAgain_keepsItsRetryAfter() {
    final ScriptedController separateRoutes =
        new ScriptedController(ScriptedController.settings(16, 1, true, false));
    separateRoutes.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    separateRoutes.accept("m", IDEMPOTENT);
    separateRoutes.endAttempt("m", AttemptResult.REFUSED, 5 * SECOND);
    separateRoutes.applyEndpointList(EndpointUpdate.COMPLETE_SNAPSHOT);
    separateRoutes.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    separateRoutes.advance(4900 * MS);
    assertEquals(1, separateRoutes.attempts("m"));
    separateRoutes.advance(6 * SECOND);
    assertEquals(2, separateRoutes.attempts("m"));
  }

  @Test
  void messageOfEmptiedKey_isSentAtOnce() {
    scripted.accept("first", ORDERED_BY_KEY, "k", 16 * SECOND);
    scripted.endAttempt("first", AttemptResult.DELIVERED);
    scripted.advance(3 * SECOND);
    scripted.accept("second", ORDERED_BY_KEY, "k", 16 * SECOND);
    assertEquals(1, scripted.attempts("second"));
  }

  @Test
  void messagesOfOneKey_goInOrderWithSettleDelayAfterUnansweredAttempt() {
    scripted.accept("first", ORDERED_BY_KEY, "k", 16 * SECOND);
    scripted.accept("second", ORDERED_BY_KEY, "k", 16 * SECOND);
    assertEquals(0, scripted.attempts("second"));
    scripted.endAttempt("first", AttemptResult.TIMED_OUT);
    scripted.advance(2 * SECOND);
    assertTrue(
        scripted.attempts("first") >= 2, "the settle delay does not hold back the first message");
    assertEquals(0, scripted.attempts("second"));
    scripted.endAttempt("first", AttemptResult.DELIVERED);
    assertEquals(
        0, scripted.attempts("second"), "the settle delay is three seconds from the time-out");
    scripted.advance(1100 * MS);
    assertEquals(1, scripted.attempts("second"));
  }

  @Test
  void failedDestination_getsSpacedTrialsAndRecoveryRamp() {
    for (int index = 0; index < 30; index++) {
      scripted.accept("m" + index, IDEMPOTENT, null, 60 * SECOND);
    }
    failFor(20);
    final int before = scripted.sentCalls.size();
    failFor(20);
    final int trials = scripted.sentCalls.size() - before;
    assertTrue(trials >= 3 && trials <= 12, "trials in 20 s: " + trials);
    final int sentBefore = scripted.sentCalls.size();
    serveFor(2);
    assertTrue(
        scripted.sentCalls.size() - sentBefore <= 3, "calls to a cold destination are paced");
  }

  /**
   * Neither a separate route nor a destination that is known only from a message is kept forever.
   */
  @Test
  void longUnusedDestination_isRemoved() {
    final ScriptedController separateRoutes =
        new ScriptedController(ScriptedController.settings(16, 1, true, false));
    separateRoutes.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    separateRoutes.accept("m", IDEMPOTENT);
    separateRoutes.endAttempt("m", AttemptResult.DELIVERED);
    separateRoutes.acceptFor("nowhere", IDEMPOTENT, 99);
    assertEquals(2, separateRoutes.controller.destinationCount());
    separateRoutes.applyEndpointList(
        EndpointUpdate.CHANGES, ScriptedController.endpointInState(EndpointState.GONE, 1));
    separateRoutes.advance(50 * SECOND);
    assertEquals(
        1,
        separateRoutes.controller.destinationCount(),
        "only the Retry-After and the outage of the route are still of use");
    separateRoutes.advance(15 * SECOND);
    assertEquals(0, separateRoutes.controller.destinationCount());
  }

  /**
   * An outage belongs to the endpoints that had it: an endpoint that replaces them is tried at
   * once.
   */
  @Test
  void newEndpointOfOpenCircuit_isTriedAtOnce() {
    for (int index = 0; index < 10; index++) {
      scripted.accept("m" + index, IDEMPOTENT, null, 60 * SECOND);
    }
    failFor(30);
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(3, DESTINATION, "a"));
    assertTrue(
        scripted.sentCalls.stream()
            .anyMatch(send -> send.endpoint() == 3 && send.atUs() == scripted.nowUs));
  }

  /**
   * Seen on sockets: endpoints closed idle connections at their next use, and were treated as
   * faulty.
   */
  @Test
  void resetOnReusedConnection_closesIdleOnesWithoutFault() {
    final ScriptedController one = new ScriptedController(ScriptedController.settings());
    one.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    one.accept("warm", IDEMPOTENT);
    one.endAttempt("warm", AttemptResult.DELIVERED);
    one.accept("m", IDEMPOTENT);
    one.endAttempt("m", AttemptResult.RESET);
    assertEquals(List.of(1L), one.endpointsClosedIdle);
    assertEquals(2, one.attempts("m"), "retried at once over a new connection");
    one.endAttempt("m", AttemptResult.RESET);
    assertEquals(2, one.attempts("m"), "a reset of a new connection is a fault of the endpoint");
  }

  /**
   * Seen on sockets: a rejected call of five messages counted as five rejections, and two such
   * calls were treated as an outage.
   */
  @Test
  void rejectedBatch_countsAsOneRejection() {
    final ScriptedController batching =
        new ScriptedController(ScriptedController.settings(16, 5, false, false));
    batching.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    for (int index = 0; index < 7; index++) {
      batching.accept("m" + index, IDEMPOTENT);
    }
    for (int round = 0; round < 3; round++) {
      final List<String> out =
          batching.sentCalls.stream()
              .map(ScriptedController.SentCall::id)
              .distinct()
              .filter(id -> batching.attempts(id) > batching.endedAttempts(id))
              .toList();
      out.forEach(id -> batching.reportOutcome(id, AttemptResult.REFUSED, 100 * MS));
      batching.controller.decide(batching.nowUs);
      batching.advance(1500 * MS);
    }
    final long lastUs = batching.sentCalls.get(batching.sentCalls.size() - 1).atUs();
    assertEquals(
        5,
        batching.sentCalls.stream().filter(send -> send.atUs() == lastUs).count(),
        "a full batch, not a single trial");
  }

  /**
   * Seen on sockets: after a false outage, a destination that accepts five messages in a call got
   * one in each call for nine seconds.
   */
  @Test
  void recoveringDestination_isServedInBatches() {
    final ScriptedController batching =
        new ScriptedController(ScriptedController.settings(16, 5, false, false));
    batching.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    for (int index = 0; index < 30; index++) {
      batching.accept("m" + index, IDEMPOTENT, null, 60 * SECOND);
    }
    for (int step = 0; step < 200; step++) {
      final boolean recovered = step >= 100;
      for (final String id :
          batching.sentCalls.stream()
              .map(ScriptedController.SentCall::id)
              .distinct()
              .filter(id -> batching.attempts(id) > batching.endedAttempts(id))
              .toList()) {
        batching.endAttempt(id, recovered ? AttemptResult.DELIVERED : AttemptResult.NO_CONNECTION);
      }
      batching.advance(100 * MS);
    }
    final var calls =
        batching.sentCalls.stream()
            .filter(send -> send.atUs() > 18 * SECOND)
            .collect(
                java.util.stream.Collectors.groupingBy(
                    ScriptedController.SentCall::atUs, java.util.stream.Collectors.counting()));
    assertTrue(calls.values().stream().anyMatch(count -> count == 5), calls.toString());
  }

  @Test
  void trial_usesNonIdempotentMessageLast() {
    for (int index = 0; index < 4; index++) {
      scripted.accept("m" + index, IDEMPOTENT_BY_KEY);
    }
    failFor(1);
    scripted.accept("pay", NON_IDEMPOTENT);
    scripted.accept("other", IDEMPOTENT_BY_KEY);
    final int before = scripted.sentCalls.size();
    failFor(10);
    assertTrue(scripted.sentCalls.size() > before, "trials were made");
    assertEquals(0, scripted.attempts("pay"));
  }

  @Test
  void oneFaultyEndpoint_isAvoidedWhileDestinationContinues() {
    for (int round = 0; round < 40; round++) {
      scripted.accept("m" + round, IDEMPOTENT);
      takeOutstanding()
          .forEach(
              id ->
                  scripted.endAttempt(
                      id,
                      scripted.lastCall(id).endpoint() == 1
                          ? AttemptResult.NO_CONNECTION
                          : AttemptResult.DELIVERED));
      scripted.advance(200 * MS);
    }
    final long faultyCalls =
        scripted.sentCalls.stream().filter(sent -> sent.endpoint() == 1).count();
    assertTrue(faultyCalls <= 6, "calls to the faulty endpoint: " + faultyCalls);
    assertTrue(scripted.sentCalls.size() >= 40);
  }

  /**
   * Incident: hung calls used all slots of couriers with few slots, and healthy destinations
   * starved.
   */
  @Test
  void overdueCall_isCancelledWhenCapacityIsNeeded() {
    final ScriptedController singleSlot =
        new ScriptedController(ScriptedController.settings(1, 1, false, false));
    singleSlot.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT,
        ScriptedController.endpoint(1, DESTINATION, "a"),
        ScriptedController.endpoint(9, 99, "a"));
    singleSlot.accept("hung", NON_IDEMPOTENT);
    singleSlot.controller.onMessage(
        singleSlot.nowUs,
        new Message("other", IDEMPOTENT, -1, null, singleSlot.nowUs + 16 * SECOND, 99));
    singleSlot.advance(5 * SECOND);
    assertEquals(List.of("hung/0"), singleSlot.cancelledAttempts);
    singleSlot.endAttempt("hung", AttemptResult.CANCELLED);
    assertEquals(List.of("hung"), singleSlot.failedMessages);
    assertEquals(1, singleSlot.attempts("other"));
  }

  /**
   * Incident: idle connections were dropped in the network, and calls over them went unanswered at
   * all destinations.
   */
  @Test
  void idleConnections_areClosedBeforeUseAfterUnansweredCalls() {
    scripted.applyEndpointList(
        EndpointUpdate.COMPLETE_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    for (int round = 0; round < 12; round++) {
      scripted.accept("warm" + round, IDEMPOTENT);
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    assertTrue(scripted.endpointsClosedIdle.isEmpty());
    for (int round = 0; round < 6; round++) {
      final int closed = scripted.endpointsClosedIdle.size();
      scripted.advance(4 * SECOND);
      scripted.accept("idle" + round, IDEMPOTENT);
      final boolean newConnection = scripted.endpointsClosedIdle.size() > closed;
      scripted.advance(2 * SECOND);
      takeOutstanding()
          .forEach(
              id ->
                  scripted.endAttempt(
                      id, newConnection ? AttemptResult.DELIVERED : AttemptResult.TIMED_OUT));
      scripted.advance(1500 * MS);
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    assertTrue(scripted.endpointsClosedIdle.size() >= 2, "closed: " + scripted.endpointsClosedIdle);
  }

  /**
   * Seen in scored runs of large fleets: idle connections of fifty couriers filled endpoints that
   * accept six to sixteen.
   */
  @Test
  void largeFleet_keepsNoIdleConnections() {
    final ScriptedController largeFleet =
        ScriptedController.withTwoEndpoints(ScriptedController.fleetOf(50));
    largeFleet.accept("m", IDEMPOTENT);
    largeFleet.advance(200 * MS);
    largeFleet.endAttempt("m", AttemptResult.DELIVERED);
    assertEquals(List.of(largeFleet.lastCall("m").endpoint()), largeFleet.endpointsClosedIdle);
    scripted.accept("m", IDEMPOTENT);
    scripted.advance(200 * MS);
    scripted.endAttempt("m", AttemptResult.DELIVERED);
    assertEquals(List.of(), scripted.endpointsClosedIdle, "a small fleet keeps them");
  }

  /**
   * Seen in scenarios with slow destinations on site port-louis-main: cancelled calls were counted
   * as stale idle connections.
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
    two.accept("warm", IDEMPOTENT);
    two.advance(200 * MS);
    two.endAttempt("warm", AttemptResult.DELIVERED);
    two.advance(4 * SECOND);
    two.accept("slow", IDEMPOTENT);
    two.acceptFor("slow2", IDEMPOTENT, DESTINATION + 1);
    two.advance(4 * SECOND);
    two.acceptFor("other", IDEMPOTENT, DESTINATION + 2);
    assertEquals(List.of("slow/0"), two.cancelledAttempts, "a slot was needed");
    two.endAttempt("slow", AttemptResult.CANCELLED);
    two.advance(200 * MS);
    two.endAttempt("other", AttemptResult.DELIVERED);
    two.advance(3 * SECOND);
    two.acceptFor("again", IDEMPOTENT, DESTINATION + 2);
    two.advance(10 * MS);
    assertEquals(
        List.of(),
        two.endpointsClosedIdle,
        "no idle connection is closed because of the cancelled call");
  }

  /**
   * Seen in a quiet scenario on site sfax-lab-later: messages came in bursts, and a route that is
   * used once a minute has had no steps in which its window could grow.
   */
  @Test
  void routeOfLargeFleet_startsWithWiderWindow() {
    final ScriptedController largeFleet =
        ScriptedController.withTwoEndpoints(ScriptedController.fleetOf(50));
    for (int index = 0; index < 10; index++) {
      largeFleet.accept("m" + index, IDEMPOTENT);
      scripted.accept("m" + index, IDEMPOTENT);
    }
    assertEquals(4, largeFleet.sentCalls.size());
    assertEquals(2, scripted.sentCalls.size());
  }

  /**
   * Incident i6a814b: trials of hundreds of couriers overloaded destinations that were recovering.
   */
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
      one.accept("m" + index, IDEMPOTENT, null, 60 * SECOND);
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
    // The bound of the rule: two thirds of the overload threshold from the couriers that have seen
    // the outage, while the first calls of the others are as many as the messages that arrive. (The
    // overload threshold alone would be 24 of the 120: couriers are younger than outages.)
    final double maxTrials = 2 * arrivals * (untilUs - fromUs) / SECOND;
    assertTrue(trials > 0 && trials <= maxTrials, trials + " trials, at most " + maxTrials);
  }

  /**
   * Incident i6a814b: all couriers with the same Retry-After of a closed destination returned at
   * the same moment.
   */
  @Test
  void couriersWithSameRetryAfter_doNotReturnTogether() {
    final List<Long> returns = new ArrayList<>();
    for (int seed = 0; seed < 30; seed++) {
      final ScriptedController one =
          new ScriptedController(ScriptedController.fleetOf(50), ScriptedController.seed(seed));
      one.applyEndpointList(
          EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
      one.accept("m", IDEMPOTENT);
      one.endAttempt("m", AttemptResult.REFUSED, 4 * SECOND);
      one.advance(3999 * MS);
      assertEquals(1, one.attempts("m"), "the Retry-After is observed");
      one.advance(10 * SECOND);
      if (one.attempts("m") > 1) {
        returns.add(one.lastCall("m").atUs());
      }
    }
    assertTrue(returns.size() >= 8, "couriers that returned within ten seconds: " + returns.size());
    final long first = returns.stream().mapToLong(Long::longValue).min().orElseThrow();
    final long together = returns.stream().filter(at -> at < first + SECOND).count();
    assertTrue(
        together <= returns.size() / 2, together + " of " + returns.size() + " within a second");
  }

  @Test
  void endpointFailingOneClass_keepsServingOthers() {
    for (int round = 0; round < 30; round++) {
      scripted.accept("keyed" + round, IDEMPOTENT_BY_KEY);
      scripted.accept("safe" + round, IDEMPOTENT);
      scripted.advance(300 * MS);
      takeOutstanding()
          .forEach(
              id ->
                  scripted.endAttempt(
                      id,
                      id.startsWith("keyed") && scripted.lastCall(id).endpoint() == 1
                          ? AttemptResult.RESET
                          : AttemptResult.DELIVERED));
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
    final long faultyCalls =
        scripted.sentCalls.stream()
            .filter(s -> s.endpoint() == 1 && s.id().startsWith("keyed"))
            .count();
    final long otherCalls =
        scripted.sentCalls.stream()
            .filter(s -> s.endpoint() == 1 && s.id().startsWith("safe"))
            .count();
    assertTrue(faultyCalls <= 6, "calls of the failing class: " + faultyCalls);
    assertTrue(
        otherCalls >= 2 * faultyCalls, "calls of the other class to that endpoint: " + otherCalls);
  }

  /**
   * A hung destination returns no outcomes, and the rule table (Table I) alone would let its window
   * grow.
   */
  @Test
  void unresponsiveDestination_opensCircuit() {
    serveFor(1);
    for (int index = 0; index < 20; index++) {
      scripted.accept("m" + index, IDEMPOTENT, null, 60 * SECOND);
    }
    final int before = scripted.sentCalls.size();
    scripted.advance(12 * SECOND);
    assertTrue(
        scripted.sentCalls.size() - before <= 4,
        "calls to the unresponsive destination: " + (scripted.sentCalls.size() - before));
  }

  /**
   * Couriers do not coordinate: after rejections, each spreads out its calls, so that no burst
   * falls into one window of a rate limit.
   */
  @Test
  void sends_arePacedAfterStepWithRejections() {
    serveFor(5);
    for (int index = 0; index < 30; index++) {
      scripted.accept("m" + index, IDEMPOTENT);
    }
    takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.REFUSED));
    scripted.advance(2 * SECOND);
    final int before = scripted.sentCalls.size();
    for (int tenth = 0; tenth < 5; tenth++) {
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
      scripted.advance(100 * MS);
    }
    final int sent = scripted.sentCalls.size() - before;
    assertTrue(sent <= 8, "no burst: " + sent);
  }

  @Test
  void reportedLimit_boundsSendRateFromStart() {
    final ScriptedController limited =
        ScriptedController.withTwoEndpoints(ScriptedController.withReportedLimit());
    limited.accept("first", IDEMPOTENT);
    limited.endAttempt("first", AttemptResult.DELIVERED);
    limited.accept("second", IDEMPOTENT);
    assertEquals(0, limited.attempts("second"), "the reported limit is one call a second");
    limited.advance(1100 * MS);
    assertEquals(1, limited.attempts("second"));
  }

  @Test
  void messagesWaitingTogether_shareOneCall() {
    final ScriptedController batching =
        new ScriptedController(ScriptedController.settings(16, 5, false, false));
    for (int index = 0; index < 5; index++) {
      batching.accept("m" + index, IDEMPOTENT);
    }
    batching.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    assertEquals(5, batching.sentCalls.size());
  }

  @Test
  void messageStore_neverFillsCompletely() {
    final ScriptedController empty = new ScriptedController(ScriptedController.settings());
    for (int index = 0; index < 60; index++) {
      empty.accept("m" + index, index % 2 == 0 ? IDEMPOTENT : IDEMPOTENT_BY_KEY);
      assertTrue(index + 1 - empty.shedMessages.size() < 40);
    }
    assertTrue(
        empty.shedMessages.stream().allMatch(id -> Integer.parseInt(id.substring(1)) % 2 == 1),
        "the least valuable messages are shed");
  }

  @Test
  void endpointList_isSubscribedOnceAndAgainWithBackoffAfterLoss() {
    final ScriptedController subscribing =
        new ScriptedController(ScriptedController.settings(16, 1, false, true));
    subscribing.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    assertEquals(1, subscribing.subscriptions);
    subscribing.applyEndpointList(EndpointUpdate.CHANGES);
    subscribing.advance(30 * SECOND);
    assertEquals(1, subscribing.subscriptions);
    subscribing.applyEndpointList(EndpointUpdate.UNAVAILABLE);
    assertEquals(1, subscribing.subscriptions, "not subscribed again at once");
    subscribing.advance(2 * SECOND);
    assertEquals(2, subscribing.subscriptions);
  }

  @Test
  void abandonedMessageAndItsLateOutcome_areIgnored() {
    scripted.accept("m", IDEMPOTENT);
    scripted.controller.onMessageAbandoned(scripted.nowUs, "m");
    scripted.endAttempt("m", AttemptResult.TIMED_OUT);
    scripted.controller.onMessageAbandoned(scripted.nowUs, "m");
    scripted.advance(20 * SECOND);
    assertEquals(1, scripted.attempts("m"));
    assertTrue(scripted.shedMessages.isEmpty() && scripted.failedMessages.isEmpty());
  }

  @Test
  void sameEvents_giveSameActions() {
    final ScriptedController other =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    for (final ScriptedController one : List.of(scripted, other)) {
      for (int index = 0; index < 10; index++) {
        one.accept("m" + index, IDEMPOTENT);
      }
      one.advance(5 * SECOND);
    }
    assertEquals(scripted.sentCalls, other.sentCalls);
  }

  /** Returns the messages of attempts that were sent since the last call of this method. */
  private List<String> takeOutstanding() {
    return takeOutstandingOf(scripted);
  }

  private final List<ScriptedController.SentCall> ended = new ArrayList<>();

  private List<String> takeOutstandingOf(final ScriptedController of) {
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
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.NO_CONNECTION));
      scripted.advance(100 * MS);
    }
  }

  private void serveFor(final int seconds) {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      scripted.accept("served" + scripted.nowUs, IDEMPOTENT);
      scripted.advance(100 * MS);
      takeOutstanding().forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    }
  }

  private static void resume(
      final ScriptedController scripted,
      final String id,
      final int classIndex,
      final PriorAttempts priorAttempts) {
    scripted.controller.onMessageResumed(
        scripted.nowUs,
        new Message(
            id,
            classIndex,
            -1,
            null,
            scripted.nowUs + 16 * ScriptedController.SECOND,
            ScriptedController.DESTINATION),
        priorAttempts);
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
    assertEquals(1, scripted.attempts("safe"), "an idempotent message may be repeated");
    resume(
        scripted,
        "spent",
        0,
        new PriorAttempts(8, true, scripted.nowUs - ScriptedController.SECOND, "a"));
    assertEquals(0, scripted.attempts("spent"), "its attempts are used up");
    resume(
        scripted,
        "key-expired",
        1,
        new PriorAttempts(1, true, scripted.nowUs - 6 * ScriptedController.SECOND, "a"));
    assertEquals(0, scripted.attempts("key-expired"), "the window of its key may have ended");
    resume(
        scripted,
        "unsafe",
        2,
        new PriorAttempts(1, true, scripted.nowUs - ScriptedController.SECOND, "a"));
    assertEquals(0, scripted.attempts("unsafe"), "it may have been executed");
    assertEquals(List.of("unsafe"), scripted.failedMessages);
    assertEquals(List.of("spent", "key-expired"), scripted.shedMessages);
  }

  @Test
  void stopping_sendsNoCallThatWouldBeCutOff() {
    final ScriptedController scripted =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    scripted.controller.onStopping(scripted.nowUs, scripted.nowUs + ScriptedController.MS);
    scripted.accept("late", 0);
    assertEquals(0, scripted.attempts("late"));
    assertTrue(
        scripted.shedMessages.isEmpty() && scripted.failedMessages.isEmpty(),
        "the next process continues with it");
    scripted.controller.onStopping(scripted.nowUs, scripted.nowUs + 10 * ScriptedController.SECOND);
    scripted.advance(ScriptedController.SECOND);
    assertEquals(1, scripted.attempts("late"));
  }
}
