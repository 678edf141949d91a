package thistleturn.courier;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.MessageStore.FlushResult;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * The durable effects of a decision round: answers to clients, calls to endpoints, and reports of
 * final outcomes to the platform. Each is carried out once the journal records it durably, or once
 * it is certain that a restart cannot contradict it:
 *
 * <ul>
 *   <li>an acceptance and a call require the record;
 *   <li>a rejection requires that the journal has no record of the acceptance, or also one of its
 *       end;
 *   <li>a final outcome requires the record, or that the message has expired, since no restart
 *       sends an expired message again.
 * </ul>
 *
 * A failure of one effect does not prevent the others. Used on the event loop's thread.
 */
final class DurableEffects {
  /**
   * How long the result of a write may stay unknown before the client is rejected; a client waits
   * 400 ms for its answer.
   */
  private static final long MAX_UNCERTAIN_US = 250_000;

  /** Carries out the effects. */
  interface Executor {
    /** Accepts a message and answers its client. */
    void accept(PendingDelivery delivery);

    /** Rejects a message that could not be recorded and answers its client. */
    void rejectUnjournaled(PendingDelivery delivery);

    /** Starts a call. */
    void startCall(Dispatcher.Call call);

    /** Drops a call that cannot start. */
    void dropCall(Dispatcher.Call call);
  }

  private record Rejection(Runnable answer, long sinceUs) {}

  private record Acceptance(PendingDelivery delivery, long sinceUs) {}

  private final Executor executor;
  private final OutcomeNotifier outcomeNotifier;
  private final List<Rejection> rejections = new ArrayList<>();
  private final List<Acceptance> acceptances = new ArrayList<>();
  private final List<Dispatcher.Call> calls = new ArrayList<>();
  private final List<StoredMessage> unreportedOutcomes = new ArrayList<>();

  DurableEffects(final Executor executor, final OutcomeNotifier outcomeNotifier) {
    this.executor = executor;
    this.outcomeNotifier = outcomeNotifier;
  }

  /** A message was admitted and waits for its answer. */
  void addAcceptance(final PendingDelivery delivery, final long nowUs) {
    acceptances.add(new Acceptance(delivery, nowUs));
  }

  /**
   * A message ended before its client was answered; {@code answer} reports the reason to the
   * client.
   */
  void addRejection(final Runnable answer, final long nowUs) {
    rejections.add(new Rejection(answer, nowUs));
  }

  /** A call was decided and recorded. */
  void addCall(final Dispatcher.Call call) {
    calls.add(call);
  }

  /** An accepted message ended with an outcome. */
  void addFinalOutcome(final StoredMessage message) {
    unreportedOutcomes.add(message);
  }

  /** Returns true while outcomes wait for the journal. */
  boolean hasUnreportedOutcomes() {
    return !unreportedOutcomes.isEmpty();
  }

  /** Carries out the effects that are due after a flush of the journal with this result. */
  void runAfterFlush(final FlushResult flushed, final long nowUs) {
    runRejections(flushed, nowUs);
    runAcceptances(flushed, nowUs);
    runCalls(flushed);
    reportOutcomes(flushed, nowUs);
  }

  /** Does the same for rejections and outcomes only; acceptances and calls wait for the round. */
  void runRejectionsAndOutcomes(final FlushResult flushed, final long nowUs) {
    runRejections(flushed, nowUs);
    reportOutcomes(flushed, nowUs);
  }

  private void runRejections(final FlushResult flushed, final long nowUs) {
    final List<Rejection> due =
        removeDue(rejections, rejection -> isCertain(flushed, rejection.sinceUs(), nowUs));
    due.forEach(rejection -> runGuarded("rejection", rejection.answer()));
  }

  private void runAcceptances(final FlushResult flushed, final long nowUs) {
    final List<Acceptance> due =
        removeDue(acceptances, acceptance -> isCertain(flushed, acceptance.sinceUs(), nowUs));
    for (final Acceptance acceptance : due) {
      if (acceptance.delivery().awaitsReply()) {
        runGuarded("answer", () -> answer(acceptance.delivery(), flushed));
      }
    }
  }

  private void answer(final PendingDelivery delivery, final FlushResult flushed) {
    if (flushed == FlushResult.DURABLE) {
      executor.accept(delivery);
    } else {
      executor.rejectUnjournaled(delivery);
    }
  }

  private static boolean isCertain(
      final FlushResult flushed, final long sinceUs, final long nowUs) {
    return flushed != FlushResult.UNKNOWN || nowUs - sinceUs >= MAX_UNCERTAIN_US;
  }

  private void runCalls(final FlushResult flushed) {
    final List<Dispatcher.Call> due = List.copyOf(calls);
    calls.clear();
    for (final Dispatcher.Call call : due) {
      final boolean started =
          flushed == FlushResult.DURABLE && runGuarded("call", () -> executor.startCall(call));
      if (!started) {
        runGuarded("dropped call", () -> executor.dropCall(call));
      }
    }
  }

  private void reportOutcomes(final FlushResult flushed, final long nowUs) {
    final List<StoredMessage> due =
        removeDue(
            unreportedOutcomes,
            message -> flushed == FlushResult.DURABLE || message.deadlineUs() <= nowUs);
    if (flushed != FlushResult.DURABLE && !due.isEmpty()) {
      Log.event(Event.END_TOLD_UNWRITTEN, "ends", due.size(), "first", due.get(0).id());
    }
    due.forEach(outcomeNotifier::enqueue);
    runGuarded("outcome reports", outcomeNotifier::flush);
  }

  private static <T> List<T> removeDue(final List<T> from, final Predicate<T> isDue) {
    final List<T> due = from.stream().filter(isDue).toList();
    from.removeAll(due);
    return due;
  }

  /** Returns true if the step succeeded; a failure is logged and does not stop the other steps. */
  private static boolean runGuarded(final String step, final Runnable action) {
    try {
      action.run();
      return true;
    } catch (final RuntimeException e) {
      Log.count(Event.STEP_FAILED);
      Log.failure(step, e);
      return false;
    }
  }
}
