package thistleturn.decisions.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.pools.AnswerHistory.Kind;

/** Virtual time: calls are numbers, connections are names, times are microseconds. */
final class AnswerConfirmationTest {
  private static final long SECOND = 1_000_000;
  private static final long MESSAGE_DEADLINE = 20 * SECOND;
  private static final long ENDPOINT = 1;
  private static final long OTHER_ENDPOINT = 2;
  private static final Kind DELIVERED = new Kind(200, false);
  private static final Kind REJECTED = new Kind(503, false);
  private static final Kind GONE = new Kind(410, true);

  private final AnswerConfirmation<Integer, String> deliveries = new AnswerConfirmation<>();
  private final Map<String, AnswerHistory> histories = new HashMap<>();

  /** The history of a connection, whose first call was delivered. */
  private AnswerHistory history(final String connection) {
    return histories.computeIfAbsent(
        connection,
        unused -> {
          final AnswerHistory history = new AnswerHistory();
          history.add(DELIVERED, 0);
          return history;
        });
  }

  private void add(
      final int call,
      final String connection,
      final long endpoint,
      final long callDeadlineUs,
      final long messageDeadlineUs) {
    final int place = history(connection).add(DELIVERED, callDeadlineUs);
    deliveries.add(call, connection, endpoint, place, callDeadlineUs, messageDeadlineUs);
  }

  /** A response comes without a call, and nothing else. */
  private List<Integer> surplus(
      final String connection, final long endpoint, final Kind kind, final long nowUs) {
    history(connection).addSurplus(kind, nowUs);
    return inDoubt(deliveries.onOutOfStep(connection, endpoint, history(connection), true, nowUs));
  }

  private List<Integer> end(final String connection, final long nowUs) {
    return inDoubt(deliveries.onConnectionEnded(connection, history(connection), nowUs));
  }

  private static List<Integer> inDoubt(final AnswerConfirmation.Verdict<Integer> verdict) {
    return verdict.inDoubt().stream().map(AnswerConfirmation.Doubtful::call).toList();
  }

  private void suspend(final long endpoint, final long nowUs) {
    for (int each = 0; each < AnswerConfirmation.SUSPENDING_CONNECTIONS; each++) {
      surplus("suspending-" + endpoint + each, endpoint, REJECTED, nowUs);
    }
  }

  @Test
  void quietConnection_confirmsAtDeadlineOfCall() {
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    assertEquals(List.of(), deliveries.resolveDue(2 * SECOND - 1).confirmed());
    assertEquals(List.of(1), deliveries.resolveDue(2 * SECOND).confirmed());
    assertTrue(deliveries.isEmpty());
  }

  @Test
  void surplusResponse_putsInDoubtWhatItMayAnswer() {
    add(1, "a", ENDPOINT, SECOND - 1, MESSAGE_DEADLINE);
    add(2, "a", ENDPOINT, SECOND, MESSAGE_DEADLINE);
    add(3, "a", ENDPOINT, 3 * SECOND, MESSAGE_DEADLINE);
    add(4, "b", ENDPOINT, 3 * SECOND, MESSAGE_DEADLINE);
    assertEquals(List.of(2, 3), surplus("a", ENDPOINT, REJECTED, SECOND));
    assertFalse(deliveries.isUnconfirmed("a"));
    assertTrue(deliveries.isUnconfirmed("b"));
  }

  @Test
  void surplusResponseOfSameKind_putsNothingInDoubt() {
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    assertEquals(List.of(), surplus("a", ENDPOINT, DELIVERED, SECOND));
    assertTrue(deliveries.isEmpty());
  }

  /** Guards against a call of a message whose own answer came without a call and ended it. */
  @Test
  void surplusResponseThatStatesAnEnd_isOfTheMessageInDoubt() {
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    history("a").addSurplus(GONE, SECOND);
    final var verdict = deliveries.onOutOfStep("a", ENDPOINT, history("a"), true, SECOND);
    assertEquals(List.of(new AnswerConfirmation.Doubtful<>(1, true)), verdict.inDoubt());
  }

  @Test
  void deliveryOfEndedConnection_isInDoubtOnceAnyConnectionIsOutOfStep() {
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    assertEquals(List.of(), end("a", SECOND));
    assertEquals(List.of(1), surplus("b", OTHER_ENDPOINT, DELIVERED, SECOND + 1));
  }

  /** Adds an answer that came much sooner after its call than the endpoint ever answers. */
  private void addTooSoon(final int call, final long sentUs) {
    history("a").onCallSent(sentUs);
    add(call, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    history("a").noteTooSoon();
  }

  /** Guards against a lost message: one isolated copy was read for a call that was never read. */
  @Test
  void tooSoonAnswerOfConnectionThatEndsAtOnce_isInDoubt() {
    addTooSoon(1, SECOND);
    history("a").suspectTooSoon(SECOND);
    assertFalse(history("a").settleIfUnsuspected());
    assertEquals(List.of(1), end("a", SECOND));
    assertTrue(deliveries.isEmpty());
  }

  /** The plain twin: the endpoint has had time to answer itself before it closed. */
  @Test
  void tooSoonAnswerOfConnectionThatEndsLater_isConfirmed() {
    addTooSoon(1, SECOND - 1);
    history("a").suspectTooSoon(SECOND);
    assertTrue(history("a").settleIfUnsuspected());
    assertEquals(List.of(1), deliveries.onConnectionEnded("a", history("a"), SECOND).confirmed());
  }

  /** The plain twin: only the suspect answer of a connection is in doubt. */
  @Test
  void otherDeliveriesOfConnectionWithSuspectOne_areConfirmedInTime() {
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    addTooSoon(2, SECOND);
    history("a").suspectTooSoon(SECOND);
    assertEquals(List.of(2), end("a", SECOND));
    assertEquals(List.of(1), deliveries.resolveDue(MESSAGE_DEADLINE).confirmed());
  }

  /** The plain twin: an answer that came too soon on a connection that stays open counts. */
  @Test
  void tooSoonAnswerOfOpenConnection_isConfirmedAtDeadlineOfCall() {
    addTooSoon(1, SECOND);
    assertEquals(List.of(1), deliveries.resolveDue(2 * SECOND).confirmed());
  }

  /** Guards against repeats of what an endpoint delivered before it closed its idle connection. */
  @Test
  void connectionThatEndsInStep_confirmsItsDeliveries() {
    surplus("b", ENDPOINT, DELIVERED, SECOND);
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    history("a").settleIfUnsuspected();
    assertEquals(
        List.of(1), deliveries.onConnectionEnded("a", history("a"), SECOND + 1).confirmed());
  }

  @Test
  void connectionThatEndsAfterOneWasOutOfStep_leavesItsLastDeliveryInDoubt() {
    add(1, "a", ENDPOINT, 20 * SECOND, MESSAGE_DEADLINE);
    add(2, "c", OTHER_ENDPOINT, 20 * SECOND, MESSAGE_DEADLINE);
    add(3, "d", OTHER_ENDPOINT, 20 * SECOND, MESSAGE_DEADLINE);
    surplus("b", ENDPOINT, DELIVERED, SECOND);
    final long commonUntilUs = SECOND + AnswerConfirmation.COMMON_CAUSE_US;
    assertEquals(List.of(2), end("c", commonUntilUs - 1));
    assertEquals(List.of(), end("d", commonUntilUs));
    assertEquals(List.of(1), end("a", commonUntilUs));
  }

  /** Guards against repeats of all that a busy connection has delivered. */
  @Test
  void connectionThatEnds_confirmsDeliveriesWhoseOwnResponsesWereDue() {
    surplus("b", ENDPOINT, DELIVERED, SECOND);
    for (int call = 1; call <= 8; call++) {
      final long atUs = SECOND + call;
      history("a").onCallSent(atUs);
      final int place = history("a").add(DELIVERED, 2);
      deliveries.add(call, "a", ENDPOINT, place, 20 * SECOND, MESSAGE_DEADLINE);
    }
    assertEquals(List.of(6, 7, 8), end("a", 2 * SECOND));
  }

  @Test
  void endedConnection_confirmsAtDeadlineOfMessageIfNoneWasOutOfStep() {
    add(1, "a", ENDPOINT, 2 * SECOND, 5 * SECOND);
    end("a", SECOND);
    assertEquals(List.of(), deliveries.resolveDue(5 * SECOND - 1).confirmed());
    assertEquals(List.of(1), deliveries.resolveDue(5 * SECOND).confirmed());
  }

  @Test
  void suspendedEndpoint_hasToEndConnectionsWhoseOwnResponseMayNeverCome() {
    suspend(ENDPOINT, 0);
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    final var due = deliveries.resolveDue(2 * SECOND);
    assertEquals(List.of(), due.confirmed());
    assertEquals(Set.of("a"), due.toEnd());
    assertEquals(List.of(1), end("a", 2 * SECOND));
  }

  @Test
  void lackOfMemory_confirmsTheEarliestDelivery() {
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    add(2, "b", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    add(3, "a", ENDPOINT, 3 * SECOND, MESSAGE_DEADLINE);
    assertEquals(1, deliveries.confirmOldest());
    assertEquals(3, deliveries.confirmOldest());
    assertFalse(deliveries.isUnconfirmed("a"));
    assertTrue(deliveries.isUnconfirmed("b"));
  }

  @Test
  void suspension_isThatOfOneEndpointAndEnds() {
    suspend(ENDPOINT, SECOND);
    assertTrue(deliveries.isReuseSuspended(ENDPOINT, 2 * SECOND));
    assertFalse(deliveries.isReuseSuspended(OTHER_ENDPOINT, 2 * SECOND));
    assertFalse(deliveries.isReuseSuspended(ENDPOINT, SECOND + AnswerConfirmation.SUSPENSION_US));
  }

  /** Guards against a connection for each call where copies are rare. */
  @Test
  void rareCopies_suspendNoReuse() {
    for (long atUs = 0; atUs < 60 * SECOND; atUs += SECOND) {
      surplus("copied-" + atUs, ENDPOINT, DELIVERED, atUs);
      assertFalse(deliveries.isReuseSuspended(ENDPOINT, atUs));
    }
  }

  @Test
  void endOfProcess_confirmsUnlessTheEndpointWasOutOfStepLately() {
    add(1, "a", ENDPOINT, 2 * SECOND, MESSAGE_DEADLINE);
    add(2, "c", OTHER_ENDPOINT, 3 * SECOND, MESSAGE_DEADLINE);
    surplus("b", OTHER_ENDPOINT, DELIVERED, SECOND);
    final var resolution = deliveries.resolveAll(2 * SECOND);
    assertEquals(List.of(1), resolution.confirmed());
    assertEquals(Set.of("c"), resolution.toEnd());
  }

  /**
   * Guards against a copy that is taken for a later response and never noticed: connections with
   * one copy at a random place carry calls until they are idle for longer than a call takes.
   */
  @Test
  void randomCopies_leaveNoWrongDeliveryConfirmed() {
    for (long seed = 1; seed <= 2000; seed++) {
      final Random random = new Random(seed);
      final AnswerConfirmation<Integer, String> played = new AnswerConfirmation<>();
      final AnswerHistory history = new AnswerHistory();
      final int calls = 2 + random.nextInt(6);
      final int copied = 1 + random.nextInt(calls - 1);
      final boolean[] delivers = new boolean[calls + 1];
      for (int call = 1; call <= calls; call++) {
        delivers[call] = call == copied || random.nextInt(5) > 0;
      }
      final Set<Integer> inDoubt = new TreeSet<>();
      final Set<Integer> wrong = new TreeSet<>();
      final List<Integer> confirmed = new ArrayList<>();
      int read = 0;
      boolean open = true;
      for (int call = 1; open && call <= calls; call++) {
        // From the call after the copied one, each reads the response of the one before.
        read = call > copied ? call - 1 : call;
        final int place = history.add(delivers[read] ? DELIVERED : REJECTED, 3 * SECOND);
        if (!delivers[read]) {
          final var ended = played.onConnectionEnded("a", history, call);
          inDoubt.addAll(inDoubt(ended));
          confirmed.addAll(ended.confirmed());
          open = false;
        } else if (call > 1) {
          played.add(call, "a", ENDPOINT, place, 3 * SECOND, MESSAGE_DEADLINE);
          if (!delivers[call]) {
            wrong.add(call);
          }
        }
      }
      final AnswerHistory last = open ? history : new AnswerHistory();
      last.addSurplus(delivers[calls] ? DELIVERED : REJECTED, SECOND);
      final var proof = played.onOutOfStep(open ? "a" : "b", ENDPOINT, last, true, SECOND);
      inDoubt.addAll(inDoubt(proof));
      confirmed.addAll(proof.confirmed());
      assertTrue(inDoubt.containsAll(wrong), "seed " + seed + ": " + wrong + ", " + inDoubt);
      confirmed.retainAll(wrong);
      assertEquals(List.of(), confirmed, "seed " + seed);
      assertEquals(List.of(), played.resolveDue(MESSAGE_DEADLINE).confirmed(), "seed " + seed);
    }
  }
}
