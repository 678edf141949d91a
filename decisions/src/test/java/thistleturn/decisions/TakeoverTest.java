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

/** What one process's decisions have learnt binds those of the process that takes over from it. */
@Tag("operators")
final class TakeoverTest {
  private static final int SAFE = 0;
  private static final int UNSAFE = 2;
  private static final int ORDERED = 3;

  private final ScriptedController before =
      ScriptedController.withTwoEndpoints(ScriptedController.settings());

  /**
   * The process that takes over, at the same moment; it has been told the list and what was learnt.
   */
  private ScriptedController after() {
    final ScriptedController after =
        ScriptedController.withTwoEndpoints(ScriptedController.settings());
    after.nowUs = before.nowUs;
    after.controller.onLearnedState(after.nowUs, before.controller.learnedState());
    return after;
  }

  @Test
  void retryAfter_survivesTakeover() {
    before.accept("m1", SAFE);
    before.endAttempt("m1", AttemptResult.REFUSED, 2 * SECOND);
    before.advance(SECOND);
    final ScriptedController after = after();
    after.accept("m2", SAFE);
    after.advance(SECOND - MS);
    assertEquals(0, after.sentCalls.size(), "it was told to wait");
    after.advance(5 * SECOND);
    assertEquals(1, after.sentCalls.size());
  }

  @Test
  void openCircuit_survivesTakeoverWithSingleTrials() {
    for (int round = 0; round < 8; round++) {
      before.accept("m" + round, SAFE);
      before.advance(SECOND / 2);
      before.sentCalls.stream()
          .map(ScriptedController.SentCall::id)
          .distinct()
          .filter(id -> before.attempts(id) > before.endedAttempts(id))
          .toList()
          .forEach(id -> before.endAttempt(id, AttemptResult.NO_CONNECTION));
    }
    final ScriptedController after = after();
    for (int index = 0; index < 10; index++) {
      after.accept("n" + index, SAFE);
    }
    after.advance(10 * SECOND);
    assertEquals(1, after.sentCalls.size(), "one trial, and nothing beside it");
  }

  @Test
  void recovery_survivesTakeover() {
    openCircuitOf(before);
    final ScriptedController after = after();
    for (int index = 0; index < 12; index++) {
      after.accept("n" + index, SAFE);
    }
    after.advance(100 * MS);
    assertTrue(after.sentCalls.size() <= 1, "paced: " + after.sentCalls.size());
  }

  private static void openCircuitOf(final ScriptedController scripted) {
    for (int round = 0; round < 8; round++) {
      scripted.accept("m" + round, SAFE);
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
    before.accept("out", UNSAFE);
    final ScriptedController.SentCall sent = before.lastCall("out");
    final ScriptedController after = after();
    after.controller.onCallAdopted(
        after.nowUs,
        new Message("out", UNSAFE, -1, null, after.nowUs + 16 * SECOND, DESTINATION),
        new PriorAttempts(1, false, 0, ""),
        sent.endpoint(),
        sent.atUs(),
        false);
    after.controller.decide(after.nowUs);
    assertEquals(1, after.controller.callsInFlight());
    after.advance(2 * SECOND);
    assertEquals(0, after.sentCalls.size(), "never two copies out");
    after.controller.onOutcome(
        after.nowUs,
        new AttemptOutcome(
            "out", AttemptResult.RESET, false, sent.endpoint(), 2 * SECOND, 0, null));
    after.controller.decide(after.nowUs);
    assertEquals(0, after.controller.callsInFlight());
    assertEquals(List.of("out"), after.failedMessages, "it may have run");
  }

  // Guards against a second copy while a call of a process that is being killed is still open.
  @Test
  void interruptedAttempt_isNotRepeatedBeforeItsEnd() {
    final ScriptedController after = after();
    resumeInterrupted(after, "safe", SAFE, null);
    resumeInterrupted(after, "unsafe", UNSAFE, null);
    after.accept("new", SAFE);
    after.advance(SECOND);
    assertEquals(1, after.sentCalls.size(), "what was in no call goes at once");
    assertEquals(List.of(), after.failedMessages);
    after.controller.onInterruptionEnded(after.nowUs, "safe");
    after.controller.onInterruptionEnded(after.nowUs, "unsafe");
    after.controller.decide(after.nowUs);
    assertEquals(1, after.attempts("safe"));
    assertEquals(List.of("unsafe"), after.failedMessages, "it may have run");
  }

  // Guards against overtaking: the messages of a key wait behind one whose attempt is interrupted.
  @Test
  void interruptedAttempt_keepsItsPlaceAmongMessagesOfItsKey() {
    final ScriptedController after = after();
    resumeInterrupted(after, "first", ORDERED, "k");
    after.accept("second", ORDERED, "k", 16 * SECOND);
    after.advance(SECOND);
    assertEquals(0, after.sentCalls.size());
    after.controller.onInterruptionEnded(after.nowUs, "first");
    after.controller.decide(after.nowUs);
    assertEquals("first", after.sentCalls.get(0).id());
    assertEquals(1, after.sentCalls.size());
  }

  // Guards against a message that is sent, or never ends, after its time.
  @Test
  void interruptedAttemptThatEndsAtDeadline_endsItsMessage() {
    final ScriptedController after = after();
    resumeInterrupted(after, "late", SAFE, null);
    after.advance(16 * SECOND);
    after.controller.onInterruptionEnded(after.nowUs, "late");
    after.controller.decide(after.nowUs);
    assertEquals(0, after.sentCalls.size());
    assertEquals(List.of("late"), after.shedMessages);
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
      scripted.accept("m" + index, SAFE);
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
    assertEquals(1, scripted.sentCalls.size(), "single calls, as many as a cold one bears");
    assertEquals(0, scripted.controller.avoidedEndpoints().size());
  }
}
