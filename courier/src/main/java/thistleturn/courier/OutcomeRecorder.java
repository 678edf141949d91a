package thistleturn.courier;

import java.util.List;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;

/**
 * Records the outcomes of attempts in the journal, the metrics and the log, and passes each to the
 * controller; also records that the platform has confirmed final outcomes.
 */
final class OutcomeRecorder {
  /** An outcome confirmed this long after the deadline is logged; the limit is 300 ms. */
  private static final long LATE_OUTCOME_US = 100_000;

  /** Stands for a response time that is unreliable, since this process was paused meanwhile. */
  private static final long NOT_MEASURED = -1;

  private final LoopContext context;
  private final MessageCompletion completion;
  private final ReachabilityTracker reachability;
  private final OutageReporter outages;
  private final DeliveryController controller;
  private final RoundScheduler scheduler;

  OutcomeRecorder(
      final LoopContext context,
      final MessageCompletion completion,
      final ReachabilityTracker reachability,
      final OutageReporter outages,
      final DeliveryController controller,
      final RoundScheduler scheduler) {
    this.context = context;
    this.completion = completion;
    this.reachability = reachability;
    this.outages = outages;
    this.controller = controller;
    this.scheduler = scheduler;
  }

  /** Records the outcome of a call for one of its messages. */
  void recordAttempt(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    final long nowUs = context.stallDetector().recordActivity();
    delivery.endCall();
    if (delivery.message().timeline() != null) {
      delivery.message().timeline().markAttemptEnded(context.clock().nowUs());
    }
    if (!delivery.hasEnded()) {
      completeOrRecord(delivery, outcome);
    }
    if (outcome.result() != AttemptResult.DELIVERED) {
      logUndelivered(delivery, call, outcome, nowUs);
    }
    final long destination = delivery.message().destination();
    reachability.recordResult(destination, call, outcome.result(), nowUs);
    controller.onOutcome(nowUs, toControllerOutcome(delivery, call, outcome, nowUs));
    outages.reportOutcome(destination, outcome, nowUs);
    scheduler.requestRound();
  }

  private void completeOrRecord(
      final PendingDelivery delivery, final Dispatcher.DispatchOutcome outcome) {
    final String className = delivery.message().className();
    if (outcome.result() == AttemptResult.DELIVERED) {
      context.counters().countDelivered(className);
      completion.complete(delivery);
    } else if (outcome.completed()) {
      context.counters().countFailed(className);
      completion.complete(delivery);
    } else {
      context.store().recordAttemptOutcome(delivery.message(), outcome.result().neverExecuted());
    }
  }

  private void logUndelivered(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome,
      final long nowUs) {
    Log.event(
        outcome.result() == AttemptResult.NOT_SENT ? Event.ATTEMPT_NOT_SENT : Event.ATTEMPT_FAILED,
        "id",
        delivery.id(),
        "class",
        delivery.message().className(),
        "endpoint",
        context.endpoints().nameOf(call.endpoint()),
        "result",
        outcome.result(),
        "attempts",
        delivery.message().attempts(),
        "after_us",
        nowUs - call.preparedUs(),
        "wait_us",
        outcome.retryAfterUs(),
        "connection",
        call.connection(),
        "call",
        call.numberOnConnection());
  }

  private AttemptOutcome toControllerOutcome(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome,
      final long nowUs) {
    final boolean measured = context.health().wasRunningBetween(call.preparedUs(), nowUs);
    return new AttemptOutcome(
        delivery.id(),
        outcome.result(),
        delivery.hasEnded(),
        call.endpoint(),
        measured ? nowUs - call.preparedUs() : NOT_MEASURED,
        outcome.retryAfterUs(),
        outcome.loadReport());
  }

  /** Records that the platform has confirmed these final outcomes, which completes the messages. */
  void recordConfirmed(final List<StoredMessage> messages) {
    final long nowUs = context.clock().nowUs();
    for (final StoredMessage message : messages) {
      logIfLate(message, nowUs);
      context.store().recordCompleted(message);
    }
    scheduler.requestRound();
  }

  private static void logIfLate(final StoredMessage message, final long nowUs) {
    if (message.timeline() == null || message.timeline().latenessUs(nowUs) <= LATE_OUTCOME_US) {
      return;
    }
    Log.event(
        Event.MESSAGE_ENDED_LATE,
        "id",
        message.id(),
        "class",
        message.className(),
        "attempts",
        message.attempts(),
        "way",
        message.timeline().describe(nowUs));
  }
}
