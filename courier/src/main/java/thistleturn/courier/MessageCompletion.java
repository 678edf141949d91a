package thistleturn.courier;

import java.util.function.LongFunction;
import java.util.function.Supplier;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage.FinalOutcome;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.retries.Evidence;
import thistleturn.decisions.retries.FollowUp;
import thistleturn.decisions.retries.TimeLeft;

/**
 * Ends messages, each exactly once. A message whose client still waits ends with the answer to the
 * client; an accepted one ends with its delivery, or with an outcome that the journal keeps until
 * the platform has confirmed it.
 */
final class MessageCompletion {
  private static final long US_PER_MS = 1000;

  private final LoopContext context;
  private final DurableEffects effects;
  private final LongFunction<String> blockedReason;

  /**
   * Creates the part of a loop that ends its messages.
   *
   * @param blockedReason returns what keeps the next message of a destination from being sent
   */
  MessageCompletion(
      final LoopContext context,
      final DurableEffects effects,
      final LongFunction<String> blockedReason) {
    this.context = context;
    this.effects = effects;
    this.blockedReason = blockedReason;
  }

  /** Sheds a message, which was not delivered; its client can safely submit it again. */
  void shed(final String messageId, final long retryAfterUs) {
    final PendingDelivery delivery = context.pending().get(messageId);
    if (delivery == null) {
      return;
    }
    context.counters().countRejected(delivery.message().className());
    if (delivery.isAnswered()) {
      finish(delivery, new FinalOutcome(false, retryAfterUs / US_PER_MS));
      return;
    }
    context.ended().record(messageId, MessageEnd.REJECTED);
    final Ingress.Reply reply = complete(delivery);
    Log.event(
        Event.REQUEST_REFUSED,
        "id",
        messageId,
        "class",
        delivery.messageClass().name(),
        "why",
        "decided",
        "retry_after_us",
        retryAfterUs);
    effects.addRejection(
        () -> reply.rejected(Ingress.RejectionReason.DECIDED, retryAfterUs),
        context.clock().nowUs());
  }

  /** Ends a message as failed; whether it was delivered is not known. */
  void fail(final String messageId) {
    final PendingDelivery delivery = context.pending().get(messageId);
    if (delivery == null) {
      return;
    }
    context.counters().countFailed(delivery.message().className());
    if (delivery.isAnswered()) {
      finish(delivery, new FinalOutcome(true, 0));
      return;
    }
    context.ended().record(messageId, MessageEnd.FAILED);
    final Ingress.Reply reply = complete(delivery);
    effects.addRejection(reply::failed, context.clock().nowUs());
  }

  /** Returns the outcome to report of a message that may be over. */
  static FinalOutcome outcomeOfOver(final PendingDelivery delivery) {
    final FollowUp notice =
        FollowUp.of(Evidence.MAY_BE_OVER, delivery.messageClass(), TimeLeft.FOR_NOTICE);
    return new FinalOutcome(notice == FollowUp.NOTICE_UNDELIVERABLE, 0);
  }

  /** Ends an accepted message with an outcome, which the journal keeps until it is confirmed. */
  void finish(final PendingDelivery delivery, final FinalOutcome outcome) {
    end(delivery, outcome);
    context.store().recordFinalOutcome(delivery.message(), outcome);
    effects.addFinalOutcome(delivery.message());
  }

  /** Does the same for a message that the journal cannot hold any more. */
  void finishUnrecorded(final PendingDelivery delivery, final FinalOutcome outcome) {
    end(delivery, outcome);
    delivery.message().end(outcome);
    effects.addFinalOutcome(delivery.message());
  }

  private void end(final PendingDelivery delivery, final FinalOutcome outcome) {
    delivery.end();
    final MessageEnd end = outcome.failed() ? MessageEnd.UNDELIVERABLE : MessageEnd.DEFERRED;
    context.ended().record(delivery.id(), end);
    final Supplier<String> keptBy = () -> blockedReason.apply(delivery.message().destination());
    if (delivery.message().timeline() != null) {
      delivery.message().timeline().markEnded(context.clock().nowUs());
    }
    context.pending().remove(delivery.id());
    context.health().recordMessageCompleted();
    Log.event(
        Event.MESSAGE_ENDED,
        "id",
        delivery.id(),
        "class",
        delivery.message().className(),
        "dest",
        delivery.message().destination(),
        "end",
        end.label(),
        "attempts",
        delivery.message().attempts(),
        "time_left_us",
        delivery.deadlineUs() - context.clock().nowUs(),
        "kept_by",
        keptBy);
  }

  /**
   * Ends a message that has no final outcome to report; its client may still have to be answered.
   *
   * @return the client's reply, or null if the client was answered before
   */
  Ingress.Reply complete(final PendingDelivery delivery) {
    context.store().recordCompleted(delivery.message());
    return completeUnrecorded(delivery);
  }

  /** Does the same without a record, for a delivery that may be put in doubt. */
  Ingress.Reply completeUnrecorded(final PendingDelivery delivery) {
    delivery.end();
    final Ingress.Reply reply = delivery.takeReply();
    context.pending().remove(delivery.id());
    context.health().recordMessageCompleted();
    return reply;
  }
}
