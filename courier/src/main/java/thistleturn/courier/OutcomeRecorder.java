package thistleturn.courier;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.HostedController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.MessageDisposition;
import thistleturn.decisions.retries.Evidence;

/**
 * Records the outcomes of attempts in the journal, the metrics and the log, and passes each to the
 * controller; also records that the platform has confirmed final outcomes.
 */
final class OutcomeRecorder {
  /** An outcome confirmed this long after the deadline is logged; the limit is 300 ms. */
  private static final long LATE_OUTCOME_US = 100_000;

  /** Stands for a response time that is unreliable, since this process was paused meanwhile. */
  private static final long NOT_MEASURED = -1;

  private static final StoredMessage.FinalOutcome UNDELIVERABLE =
      new StoredMessage.FinalOutcome(true, 0);

  private final LoopContext context;
  private final MessageCompletion completion;
  private final UnconfirmedEnds unconfirmed;
  private final ReachabilityTracker reachability;
  private final OutageReporter outages;
  private final HostedController controller;
  private final RoundScheduler scheduler;

  OutcomeRecorder(
      final LoopContext context,
      final MessageCompletion completion,
      final UnconfirmedEnds unconfirmed,
      final ReachabilityTracker reachability,
      final OutageReporter outages,
      final HostedController controller,
      final RoundScheduler scheduler) {
    this.context = context;
    this.completion = completion;
    this.unconfirmed = unconfirmed;
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
      recordStatedEnd(delivery, call, outcome);
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

  /** Records what the answer itself says, whatever becomes of it here. */
  private void recordStatedEnd(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    if (outcome.result() == AttemptResult.DELIVERED) {
      context.ended().record(delivery.id(), MessageEnd.DELIVERED);
    } else if (outcome.disposition() != MessageDisposition.OPEN) {
      final MessageEnd end = MessageEnd.of(outcome.disposition());
      context.ended().record(delivery.id(), end);
      logOver(delivery, call, outcome, end);
    }
  }

  private void logOver(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome,
      final MessageEnd end) {
    final long nowUs = context.clock().nowUs();
    final MessageTimeline timeline = delivery.message().timeline();
    logAttempt(
        Event.MESSAGE_OVER,
        delivery,
        call,
        "end",
        end.label(),
        "attempts",
        delivery.message().attempts(),
        "after_us",
        nowUs - call.preparedUs(),
        "time_left_us",
        delivery.deadlineUs() - nowUs,
        "certainty",
        outcome.certainty(),
        "way",
        (Supplier<String>) () -> timeline == null ? "earlier process" : timeline.describe(nowUs));
  }

  private void completeOrRecord(
      final PendingDelivery delivery, final Dispatcher.DispatchOutcome outcome) {
    if (!outcome.completed()) {
      context.store().recordAttemptOutcome(delivery.message(), outcome.neverExecuted());
      return;
    }
    final String className = delivery.message().className();
    if (outcome.result() == AttemptResult.DELIVERED) {
      context.counters().countDelivered(className);
    } else {
      context.counters().countFailed(className);
    }
    complete(delivery, outcome);
  }

  private void complete(final PendingDelivery delivery, final Dispatcher.DispatchOutcome outcome) {
    if (outcome.isUnconfirmedEnd()) {
      completion.completeUnrecorded(delivery);
      unconfirmed.add(
          delivery,
          outcome.result() == AttemptResult.DELIVERED ? MessageEnd.DELIVERED : MessageEnd.OVER);
    } else {
      completion.complete(delivery);
    }
  }

  /** Returns whether the journal keeps a message open because its end may be put in doubt. */
  boolean awaitsConfirmation() {
    return unconfirmed.hasUnrecorded();
  }

  /** Records that the response that ended a message was its own. */
  void recordAnswerConfirmed(final String messageId) {
    unconfirmed.confirm(messageId);
  }

  /**
   * Records that the answer to an attempt states an end, before its outcome is known or after that:
   * no call of its message follows, in this process or a later one.
   */
  void recordEndStated(final PendingDelivery answered, final Dispatcher.Call call) {
    final PendingDelivery delivery = context.pending().get(answered.id());
    if (delivery == null || delivery.message() != answered.message()) {
      return;
    }
    final long nowUs = context.clock().nowUs();
    logAttempt(
        Event.END_STATED,
        delivery,
        call,
        "late",
        answered.call() != call,
        "after_us",
        nowUs - call.preparedUs(),
        "time_left_us",
        delivery.deadlineUs() - nowUs);
    context.ended().record(delivery.id(), MessageEnd.NO_FURTHER_ATTEMPT);
    if (delivery.isAnswered()) {
      context
          .store()
          .recordStatedOutcome(delivery.message(), MessageCompletion.outcomeOfOver(delivery));
    }
    controller.onAttemptsExhausted(nowUs, delivery.id());
    scheduler.requestRound();
  }

  /**
   * An answer that ended a message is in doubt: what follows depends on what it stated. A message
   * that may be delivered is sent again if its class allows that and time is left; of one that may
   * be over the outcome is reported.
   *
   * @param mayBeEnd whether the attempt's own answer may state an end of attempts
   */
  void recordAnswerInDoubt(
      final String messageId, final Dispatcher.Call call, final boolean mayBeEnd) {
    final UnconfirmedEnds.Unconfirmed doubtful = unconfirmed.remove(messageId);
    if (doubtful == null) {
      return;
    }
    logInDoubt(doubtful, call, mayBeEnd);
    switch (mayBeEnd ? Evidence.MAY_BE_OVER : doubtful.end().evidenceInDoubt()) {
      case MAY_BE_DELIVERED -> reopen(doubtful.delivery());
      case MAY_BE_OVER ->
          finish(doubtful.delivery(), MessageCompletion.outcomeOfOver(doubtful.delivery()));
      default -> throw new IllegalStateException("no evidence of an end: " + doubtful.end());
    }
  }

  private void finish(final PendingDelivery delivery, final StoredMessage.FinalOutcome outcome) {
    if (isStored(delivery.message())) {
      completion.finish(delivery, outcome);
    } else {
      completion.finishUnrecorded(delivery, outcome);
    }
    scheduler.requestRound();
  }

  /** Records a message again unless the store still has it; returns false if it cannot. */
  private boolean isStored(final StoredMessage message) {
    return context.store().contains(message.id()) || context.store().recordReopened(message);
  }

  private void reopen(final PendingDelivery delivery) {
    final StoredMessage message = delivery.message();
    context.ended().remove(message.id());
    if (!isStored(message)) {
      completion.finishUnrecorded(delivery, UNDELIVERABLE);
      return;
    }
    context.store().recordAttemptOutcome(message, false);
    final PendingDelivery reopened =
        new PendingDelivery(message, delivery.messageClass(), delivery.deadlineUs(), null);
    context.pending().add(reopened);
    controller.onMessageResumed(
        context.clock().nowUs(),
        reopened.toControllerMessage(context.classes().indexOf(message.className())),
        message.priorAttempts());
    scheduler.requestRound();
  }

  /**
   * Records that an attempt which was rejected may have run: the response may be that of another
   * call. Only a message that is pending, or whose end may still be put in doubt, is concerned.
   */
  void recordPossibleExecution(final PendingDelivery rejected, final Dispatcher.Call call) {
    final StoredMessage message = rejected.message();
    final String zone = context.endpoints().zoneOf(call.endpoint());
    logAttempt(Event.REJECTION_IN_DOUBT, rejected, call);
    context.store().recordPossibleExecution(message, call.preparedUs(), zone);
    controller.onPossibleExecution(context.clock().nowUs(), message.id(), call.preparedUs(), zone);
    scheduler.requestRound();
  }

  private void logInDoubt(
      final UnconfirmedEnds.Unconfirmed doubtful,
      final Dispatcher.Call call,
      final boolean mayBeEnd) {
    final PendingDelivery delivery = doubtful.delivery();
    final long nowUs = context.clock().nowUs();
    logAttempt(
        Event.DELIVERY_IN_DOUBT,
        delivery,
        call,
        "end",
        doubtful.end().label(),
        "own_may_be_end",
        mayBeEnd,
        "after_us",
        nowUs - call.preparedUs(),
        "time_left_us",
        delivery.deadlineUs() - nowUs);
  }

  private void logUndelivered(
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome,
      final long nowUs) {
    logAttempt(
        outcome.result() == AttemptResult.NOT_SENT ? Event.ATTEMPT_NOT_SENT : Event.ATTEMPT_FAILED,
        delivery,
        call,
        "result",
        outcome.result(),
        "attempts",
        delivery.message().attempts(),
        "after_us",
        nowUs - call.preparedUs(),
        "wait_us",
        outcome.retryAfterUs(),
        "certainty",
        outcome.certainty());
  }

  /** Logs an event with these details among the fields that all events of an attempt have. */
  private void logAttempt(
      final Event event,
      final PendingDelivery delivery,
      final Dispatcher.Call call,
      final Object... details) {
    final List<Object> fields = new ArrayList<>();
    Collections.addAll(fields, "id", delivery.id(), "class", delivery.message().className());
    Collections.addAll(fields, "endpoint", context.endpoints().nameOf(call.endpoint()));
    Collections.addAll(fields, details);
    Collections.addAll(fields, "connection", call.connection(), "call", call.numberOnConnection());
    Log.event(event, fields.toArray());
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
        outcome.loadReport(),
        outcome.certainty(),
        outcome.disposition() == MessageDisposition.NO_FURTHER_ATTEMPT);
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
