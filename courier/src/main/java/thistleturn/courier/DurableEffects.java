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
 * What a pass of the decisions promises to others: answers to clients, calls to endpoints, and ends
 * to the platform. Each is carried out once the journal outlasts the process with it, or once it is
 * certain that a restart cannot contradict it:
 *
 * <ul>
 *   <li>an acceptance and a call need the record;
 *   <li>a refusal needs that the record of the taking is not there, or is there with its end;
 *   <li>an end needs the record, or that its message's time is up: no restart sends that one again.
 * </ul>
 *
 * One that fails on its way does not keep the others from theirs. Used on the event loop's thread.
 */
final class DurableEffects {
  /**
   * A client waits 400 ms for its answer; so long, us, the outcome of a write may be looked up
   * before it is refused.
   */
  private static final long MAX_UNCERTAIN_US = 250_000;

  /** Who carries out what is promised. */
  interface Executor {
    /** The message is taken on, and its client is told. */
    void accept(PendingDelivery message);

    /** The message is not taken on, since it could not be written down; its client is told. */
    void rejectUnjournaled(PendingDelivery message);

    /** The call begins. */
    void startCall(Dispatcher.Call call);

    /** The call does not begin. */
    void dropCall(Dispatcher.Call call);
  }

  private record Rejection(Runnable answer, long sinceUs) {}

  private record Acceptance(PendingDelivery message, long sinceUs) {}

  private final Executor executor;
  private final OutcomeNotifier outcomeNotifier;
  private final List<Rejection> rejections = new ArrayList<>();
  private final List<Acceptance> acceptances = new ArrayList<>();
  private final List<Dispatcher.Call> calls = new ArrayList<>();
  private final List<StoredMessage> unreportedOutcomes = new ArrayList<>();

  DurableEffects(final Executor keeper, final OutcomeNotifier ends) {
    this.executor = keeper;
    this.outcomeNotifier = ends;
  }

  /** A message was taken and waits for its answer. */
  void addAcceptance(final PendingDelivery message, final long nowUs) {
    acceptances.add(new Acceptance(message, nowUs));
  }

  /** A message ended before it was answered, and its client is told why. */
  void addRejection(final Runnable answer, final long nowUs) {
    rejections.add(new Rejection(answer, nowUs));
  }

  /** A call was decided and recorded. */
  void addCall(final Dispatcher.Call call) {
    calls.add(call);
  }

  /** A message that was taken on ended by a notice. */
  void addFinalOutcome(final StoredMessage held) {
    unreportedOutcomes.add(held);
  }

  /** True while ends wait that the journal lacks. */
  boolean hasUnreportedOutcomes() {
    return !unreportedOutcomes.isEmpty();
  }

  /** Carries out what may be after a flush of the journal with this outcome. */
  void runAfterFlush(final FlushResult flush, final long nowUs) {
    runRejections(flush, nowUs);
    runAcceptances(flush, nowUs);
    final List<Dispatcher.Call> due = List.copyOf(calls);
    calls.clear();
    for (final Dispatcher.Call call : due) {
      if (flush != FlushResult.DURABLE || !runGuarded("call", () -> executor.startCall(call))) {
        runGuarded("call that does not begin", () -> executor.dropCall(call));
      }
    }
    reportOutcomes(flush, nowUs);
  }

  /** The same for what tells of ends only; answers and calls wait for the pass. */
  void runRejectionsAndOutcomes(final FlushResult flush, final long nowUs) {
    runRejections(flush, nowUs);
    reportOutcomes(flush, nowUs);
  }

  private void runRejections(final FlushResult flush, final long nowUs) {
    final List<Rejection> due =
        removeDue(rejections, one -> isCertain(flush, one.sinceUs(), nowUs));
    due.forEach(one -> runGuarded("refusal", one.answer()));
  }

  private void runAcceptances(final FlushResult flush, final long nowUs) {
    final List<Acceptance> due =
        removeDue(acceptances, one -> isCertain(flush, one.sinceUs(), nowUs));
    for (final Acceptance one : due) {
      if (one.message().reply != null && !one.message().ended) {
        runGuarded(
            "answer",
            () -> {
              if (flush == FlushResult.DURABLE) {
                executor.accept(one.message());
              } else {
                executor.rejectUnjournaled(one.message());
              }
            });
      }
    }
  }

  private static boolean isCertain(final FlushResult flush, final long sinceUs, final long nowUs) {
    return flush != FlushResult.UNKNOWN || nowUs - sinceUs >= MAX_UNCERTAIN_US;
  }

  private void reportOutcomes(final FlushResult flush, final long nowUs) {
    final List<StoredMessage> due =
        removeDue(
            unreportedOutcomes, held -> flush == FlushResult.DURABLE || held.deadlineUs() <= nowUs);
    if (flush != FlushResult.DURABLE && !due.isEmpty()) {
      Log.event(Event.END_TOLD_UNWRITTEN, "ends", due.size(), "first", due.get(0).id());
    }
    due.forEach(outcomeNotifier::enqueue);
    runGuarded("notices", outcomeNotifier::flush);
  }

  private static <T> List<T> removeDue(final List<T> from, final Predicate<T> isDue) {
    final List<T> due = from.stream().filter(isDue).toList();
    from.removeAll(due);
    return due;
  }

  /**
   * True if it was carried out; what fails is told in the log and keeps nothing else from being
   * carried out.
   */
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
