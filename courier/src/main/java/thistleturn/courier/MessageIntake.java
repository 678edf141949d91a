package thistleturn.courier;

import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.DeliveryController;

/**
 * Admits messages: checks that one can be delivered, that it is not pending already and that there
 * is capacity for it, records it in the journal and hands it to the controller. Its client is
 * answered once the journal is flushed.
 */
final class MessageIntake {
  /**
   * From this share of the limit on, the shard reports that it could use capacity of other shards.
   */
  private static final double NEAR_LIMIT_SHARE = 0.9;

  /** A message stays in the store for some seconds, so there is capacity again soon. */
  private static final long STORE_FULL_RETRY_AFTER_US = 1_000_000;

  private final LoopContext context;
  private final EndpointDirectory directory;
  private final DurableEffects effects;
  private final MessageCompletion completion;
  private final DeliveryController controller;
  private final RoundScheduler scheduler;
  private int maxPendingMessages;
  private boolean limitReached;

  /**
   * Creates an intake with a limit on pending messages.
   *
   * @param maxPendingMessages messages that may be pending at a time
   */
  MessageIntake(
      final LoopContext context,
      final EndpointDirectory directory,
      final DurableEffects effects,
      final MessageCompletion completion,
      final DeliveryController controller,
      final RoundScheduler scheduler,
      final int maxPendingMessages) {
    this.context = context;
    this.directory = directory;
    this.effects = effects;
    this.completion = completion;
    this.controller = controller;
    this.scheduler = scheduler;
    this.maxPendingMessages = maxPendingMessages;
  }

  /** Admits a message, or answers its client at once that it is not admitted. */
  void submit(final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    context.stallDetector().recordActivity();
    if (!context.endpoints().isKnownDestination(message.destination()) && directory.isCurrent()) {
      reply.invalid(Ingress.InvalidReason.NO_DESTINATION);
      return;
    }
    if (isKnown(message.id())) {
      reply.invalid(Ingress.InvalidReason.HELD_ALREADY);
      return;
    }
    limitReached |= context.pending().size() >= NEAR_LIMIT_SHARE * maxPendingMessages;
    if (context.pending().size() >= currentLimit() || !context.store().recordAccepted(message)) {
      reject(message, reply);
      return;
    }
    admit(message, deadlineUs, reply);
  }

  /** Ids are unique, so a request with a known one is a copy of an earlier request. */
  private boolean isKnown(final String messageId) {
    return context.pending().contains(messageId)
        || context.store().contains(messageId)
        || context.ended().wasExecuted(messageId);
  }

  private void reject(final StoredMessage message, final Ingress.Reply reply) {
    context.counters().countRejected(message.className());
    Log.event(
        Event.REQUEST_REFUSED,
        "id",
        message.id(),
        "class",
        message.className(),
        "why",
        context.store().isWritable() ? "no_room" : "journal_unwritable",
        "holds",
        context.pending().size());
    reply.rejected(Ingress.RejectionReason.NO_ROOM, STORE_FULL_RETRY_AFTER_US);
  }

  private void admit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    final int classIndex = context.classes().indexOf(message.className());
    final PendingDelivery delivery =
        new PendingDelivery(message, context.classes().get(message.className()), deadlineUs, reply);
    context.ended().remove(message.id());
    context.pending().add(delivery);
    effects.addAcceptance(delivery, context.clock().nowUs());
    message.timeline().markAccepted(context.clock().nowUs());
    controller.onMessage(context.clock().nowUs(), delivery.toControllerMessage(classIndex));
    scheduler.requestRound();
  }

  /**
   * Drops what a client submitted that went away before it was answered. A pending message of the
   * same id that came by another submission stays: its client may rely on it.
   */
  void withdraw(final Submission submission) {
    final String messageId = submission.messageId();
    final PendingDelivery delivery = context.pending().get(messageId);
    if (delivery != null && delivery.cameBy(submission)) {
      context
          .ended()
          .record(
              messageId,
              delivery.message().attempts() > 0
                  ? MessageEnd.WITHDRAWN_AFTER_ATTEMPT
                  : MessageEnd.WITHDRAWN);
      completion.complete(delivery);
      controller.onMessageAbandoned(context.clock().nowUs(), messageId);
      scheduler.requestRound();
    }
  }

  /** Rejects an admitted message that the journal could not record. */
  void rejectUnjournaled(final PendingDelivery delivery) {
    context.ended().record(delivery.id(), MessageEnd.REJECTED);
    final Ingress.Reply reply = completion.complete(delivery);
    context.counters().countRejected(delivery.message().className());
    controller.onMessageAbandoned(context.clock().nowUs(), delivery.id());
    Log.event(
        Event.REQUEST_REFUSED,
        "id",
        delivery.id(),
        "class",
        delivery.messageClass().name(),
        "why",
        "journal_write_failed");
    reply.rejected(Ingress.RejectionReason.NO_ROOM, STORE_FULL_RETRY_AFTER_US);
  }

  /** Sets how many messages may be pending at a time from now on. */
  void setMaxPendingMessages(final int limit) {
    maxPendingMessages = limit;
  }

  /** Returns the limit that the process's own health allows now. */
  int currentLimit() {
    return context.health().maxPendingMessages(maxPendingMessages);
  }

  /** Returns whether the limit was nearly reached since the last call. */
  boolean takeLimitReached() {
    final boolean reached = limitReached;
    limitReached = false;
    return reached;
  }
}
