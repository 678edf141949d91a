package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistleturn.decisions.ScriptedController.DESTINATION;
import static thistleturn.decisions.ScriptedController.MS;
import static thistleturn.decisions.ScriptedController.SECOND;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/** The state that the decisions of a process have learned applies to those of its successor. */
@Tag("operators")
final class TakeoverTest {
  private static final int IDEMPOTENT = 0;
  private static final int NON_IDEMPOTENT = 2;
  private static final int ORDERED_BY_KEY = 3;

  private final ScriptedController predecessor =
      ScriptedController.withTwoEndpoints(ScriptedController.settings());

  /** Returns the successor at the same time; it has the endpoint list and the learned state. */
  private ScriptedController successor() {
    final ScriptedController successor =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    successor.nowUs = predecessor.nowUs;
    successor.controller.onLearnedState(successor.nowUs, predecessor.controller.learnedState());
    return successor;
  }

  @Test
  void retryAfter_survivesTakeover() {
    predecessor.accept("m1", IDEMPOTENT);
    predecessor.endAttempt("m1", AttemptResult.REFUSED, 2 * SECOND);
    predecessor.advance(SECOND);
    final ScriptedController successor = successor();
    successor.accept("m2", IDEMPOTENT);
    successor.advance(SECOND - MS);
    assertEquals(0, successor.sentCalls.size(), "the Retry-After still applies");
    successor.advance(5 * SECOND);
    assertEquals(1, successor.sentCalls.size());
  }

  @Test
  void openCircuit_survivesTakeoverWithSingleTrials() {
    for (int round = 0; round < 8; round++) {
      predecessor.accept("m" + round, IDEMPOTENT);
      predecessor.advance(SECOND / 2);
      predecessor.sentCalls.stream()
          .map(ScriptedController.SentCall::id)
          .distinct()
          .filter(id -> predecessor.attempts(id) > predecessor.endedAttempts(id))
          .toList()
          .forEach(id -> predecessor.endAttempt(id, AttemptResult.NO_CONNECTION));
    }
    final ScriptedController successor = successor();
    for (int index = 0; index < 10; index++) {
      successor.accept("n" + index, IDEMPOTENT);
    }
    successor.advance(10 * SECOND);
    assertEquals(1, successor.sentCalls.size(), "a single trial");
  }

  @Test
  void recovery_survivesTakeover() {
    beginRecoveryOf(predecessor);
    final ScriptedController successor = successor();
    for (int index = 0; index < 12; index++) {
      successor.accept("n" + index, IDEMPOTENT);
    }
    successor.advance(100 * MS);
    assertTrue(successor.sentCalls.size() <= 1, "paced: " + successor.sentCalls.size());
  }

  /** Opens the circuit by failures, then delivers a trial. */
  private static void beginRecoveryOf(final ScriptedController scripted) {
    for (int round = 0; round < 8; round++) {
      scripted.accept("m" + round, IDEMPOTENT);
      scripted.advance(SECOND / 2);
      final AttemptResult result =
          round < 7 ? AttemptResult.NO_CONNECTION : AttemptResult.DELIVERED;
      for (int left = 20;
          left > 0 && (round == 7 ? scripted.endedAttempts("done") == 0 : left == 20);
          left--) {
        scripted.advance(round == 7 ? SECOND : 0);
        final List<String> out =
            scripted.sentCalls.stream()
                .map(ScriptedController.SentCall::id)
                .distinct()
                .filter(id -> scripted.attempts(id) > scripted.endedAttempts(id))
                .toList();
        out.forEach(id -> scripted.endAttempt(id, result));
        left = out.isEmpty() ? left : 1;
      }
    }
  }

  @Test
  void adoptedCall_countsInFlightAndItsOutcomeIsRecorded() {
    predecessor.accept("out", NON_IDEMPOTENT);
    final ScriptedController.SentCall sent = predecessor.lastCall("out");
    final ScriptedController successor = successor();
    successor.controller.onCallAdopted(
        successor.nowUs,
        new Message("out", NON_IDEMPOTENT, -1, null, successor.nowUs + 16 * SECOND, DESTINATION),
        new PriorAttempts(1, false, 0, ""),
        sent.endpoint(),
        sent.atUs(),
        false);
    successor.controller.decide(successor.nowUs);
    assertEquals(1, successor.controller.callsInFlight());
    successor.advance(2 * SECOND);
    assertEquals(0, successor.sentCalls.size(), "no second attempt while the first is in flight");
    successor.controller.onOutcome(
        successor.nowUs,
        new AttemptOutcome(
            "out", AttemptResult.RESET, false, sent.endpoint(), 2 * SECOND, 0, null));
    successor.controller.decide(successor.nowUs);
    assertEquals(0, successor.controller.callsInFlight());
    assertEquals(List.of("out"), successor.failedMessages, "it may have been executed");
  }

  // Guards against a second attempt while a call of a process that is being killed is in flight.
  @Test
  void interruptedAttempt_isNotRepeatedBeforeItsEnd() {
    final ScriptedController successor = successor();
    resumeInterrupted(successor, "safe", IDEMPOTENT, null);
    resumeInterrupted(successor, "unsafe", NON_IDEMPOTENT, null);
    successor.accept("new", IDEMPOTENT);
    successor.advance(SECOND);
    assertEquals(
        1,
        successor.sentCalls.size(),
        "the message without an interrupted attempt is sent at once");
    assertEquals(List.of(), successor.failedMessages);
    successor.controller.onInterruptionEnded(successor.nowUs, "safe");
    successor.controller.onInterruptionEnded(successor.nowUs, "unsafe");
    successor.controller.decide(successor.nowUs);
    assertEquals(1, successor.attempts("safe"));
    assertEquals(List.of("unsafe"), successor.failedMessages, "it may have been executed");
  }

  // Guards against reordering: messages of a key wait behind one with an interrupted attempt.
  @Test
  void interruptedAttempt_keepsItsPlaceAmongMessagesOfItsKey() {
    final ScriptedController successor = successor();
    resumeInterrupted(successor, "first", ORDERED_BY_KEY, "k");
    successor.accept("second", ORDERED_BY_KEY, "k", 16 * SECOND);
    successor.advance(SECOND);
    assertEquals(0, successor.sentCalls.size());
    successor.controller.onInterruptionEnded(successor.nowUs, "first");
    successor.controller.decide(successor.nowUs);
    assertEquals("first", successor.sentCalls.get(0).id());
    assertEquals(1, successor.sentCalls.size());
  }

  // Guards against a message that is sent after its deadline, or never ends.
  @Test
  void interruptedAttemptThatEndsAtDeadline_endsItsMessage() {
    final ScriptedController successor = successor();
    resumeInterrupted(successor, "late", IDEMPOTENT, null);
    successor.advance(16 * SECOND);
    successor.controller.onInterruptionEnded(successor.nowUs, "late");
    successor.controller.decide(successor.nowUs);
    assertEquals(0, successor.sentCalls.size());
    assertEquals(List.of("late"), successor.shedMessages);
  }

  private static void resumeInterrupted(
      final ScriptedController scripted,
      final String id,
      final int messageClass,
      final String key) {
    scripted.controller.onMessageInterrupted(
        scripted.nowUs,
        new Message(id, messageClass, -1, key, scripted.nowUs + 16 * SECOND, DESTINATION),
        new PriorAttempts(1, true, scripted.nowUs - SECOND, "a"));
    scripted.controller.decide(scripted.nowUs);
  }

  @Test
  void lastEndpointEnabledByOperator_isPaced() {
    final ScriptedController scripted = new ScriptedController(ScriptedController.settings());
    scripted.applyEndpointList(
        EndpointUpdate.RESTORED_SNAPSHOT, ScriptedController.endpoint(1, DESTINATION, "a"));
    scripted.applyEndpointList(
        EndpointUpdate.SUPPLEMENT, ScriptedController.endpointInState(EndpointState.DRAINING, 1));
    for (int index = 0; index < 6; index++) {
      scripted.accept("m" + index, IDEMPOTENT);
    }
    assertEquals(0, scripted.sentCalls.size());
    scripted.controller.onEndpointList(
        scripted.nowUs,
        EndpointUpdate.SUPPLEMENT,
        List.of(ScriptedController.endpointInState(EndpointState.LISTED, 1)));
    scripted.controller.onEndpointEnabled(scripted.nowUs, 1);
    scripted.controller.decide(scripted.nowUs);
    scripted.advance(200 * MS);
    scripted.sentCalls.stream()
        .map(ScriptedController.SentCall::id)
        .toList()
        .forEach(id -> scripted.endAttempt(id, AttemptResult.DELIVERED));
    scripted.advance(200 * MS);
    assertEquals(1, scripted.sentCalls.size(), "single calls until the destination has warmed up");
    assertEquals(0, scripted.controller.avoidedEndpoints().size());
  }
}
