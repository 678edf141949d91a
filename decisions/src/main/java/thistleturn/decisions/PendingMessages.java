package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * The messages of this courier from their acceptance to their end.
 *
 * <p>A message waits in the queue of its destination or is part of a call; it ends exactly once,
 * and before its deadline. One that can no longer be delivered is shed if its client may safely
 * submit it again, and fails otherwise.
 */
final class PendingMessages {
  /**
   * Share of the message store that shedding keeps free, so that no message is rejected regardless
   * of its value.
   */
  private static final double STORE_RESERVE = 0.05;

  /** The Retry-After of a message that is shed for lack of capacity, us. */
  private static final long SHED_RETRY_AFTER_US = OverloadController.SECOND_US;

  private static final Comparator<PendingMessage> EXPIRY_ORDER =
      Comparator.comparing(PendingMessage::destination, Destination.ORDER)
          .thenComparingLong(PendingMessage::queuePosition);

  private final ControllerState state;
  private final RetryPolicy retryPolicy;
  private final KeyOrdering keyOrdering;
  private final EndpointRegistry endpointRegistry;
  private final TenantQuotas tenantQuotas;
  private final Map<String, PendingMessage> messages = new HashMap<>();

  /** The expiry times of the waiting messages. */
  private final TimeHeap<MessageDeadline> deadlines = new TimeHeap<>();

  private long nextSequence;
  private long nextQueuePosition;

  PendingMessages(
      final ControllerState state,
      final RetryPolicy retryPolicy,
      final KeyOrdering keyOrdering,
      final EndpointRegistry endpointRegistry) {
    this.state = state;
    this.retryPolicy = retryPolicy;
    this.keyOrdering = keyOrdering;
    this.endpointRegistry = endpointRegistry;
    this.tenantQuotas = new TenantQuotas(state.settings);
  }

  /** Returns the message with an id, or null if there is none. */
  PendingMessage find(final String id) {
    return messages.get(id);
  }

  /** Accepts a message, which waits from now on. */
  PendingMessage accept(final Message accepted) {
    final PendingMessage message =
        new PendingMessage(
            accepted,
            state.settings.classes().get(accepted.classIndex()),
            nextSequence++,
            state.destination(accepted.destinationId()),
            tenantQuotas.recordAndCheckExceeded(accepted.tenantIndex(), state.nowUs));
    messages.put(accepted.id(), message);
    state.pendingMessages++;
    message.destination().addMessage();
    keyOrdering.enqueue(message);
    enqueue(message);
    return message;
  }

  /** Accepts a message that an earlier process of this courier had already accepted. */
  void resume(final Message accepted, final PriorAttempts priorAttempts) {
    continueResumed(resumeInterrupted(accepted, priorAttempts));
  }

  /**
   * Accepts such a message while its last attempt may still be in flight: it does not wait to be
   * sent yet.
   */
  PendingMessage resumeInterrupted(final Message accepted, final PriorAttempts priorAttempts) {
    final PendingMessage message = accept(accepted);
    dequeue(message);
    message.restore(priorAttempts);
    return message;
  }

  /** Lets a resumed message wait to be sent. */
  void continueResumed(final PendingMessage message) {
    if (message.mayHaveExecuted()) {
      keyOrdering.beginSettleDelay(message);
      keyOrdering.refreshHead(message.keyQueue());
    }
    enqueue(message);
  }

  /** Starts the wait of a message; one that may not be attempted again ends in the next round. */
  void enqueue(final PendingMessage message) {
    final Destination destination = message.destination();
    state.markChanged(destination);
    message.startWaiting(nextQueuePosition++);
    destination.startWaiting(state.nowUs);
    deadlines.schedule(
        message.deadline(), retryPolicy.mayAttempt(message) ? retryPolicy.expiryUs(message) : 0);
    destination.enqueue(message, !keyOrdering.mayProceed(message));
    keyOrdering.refreshHead(message.keyQueue());
  }

  /** Ends the wait of a message, if it is waiting. */
  void dequeue(final PendingMessage message) {
    if (!message.isWaiting()) {
      return;
    }
    final Destination destination = message.destination();
    state.markChanged(destination);
    message.stopWaiting();
    destination.stopWaiting();
    deadlines.remove(message.deadline());
    destination.dequeue(message);
  }

  /** Returns when the next waiting message expires. */
  long nextExpiryUs() {
    return deadlines.earliestDueUs();
  }

  /** Ends the waiting messages that have expired, in the order of destination and position. */
  void endExpired() {
    final List<PendingMessage> expired = new ArrayList<>();
    for (MessageDeadline due = deadlines.poll(state.nowUs);
        due != null;
        due = deadlines.poll(state.nowUs)) {
      expired.add(due.message());
    }
    expired.sort(EXPIRY_ORDER);
    for (final PendingMessage message : expired) {
      // The client should not retry before the present queue has drained.
      message.destination().catchUpIdleSteps(state.stepCount);
      endUndelivered(
          message, Math.max(RecoveryPacer.MIN_BACKOFF_US, message.destination().queueDrainUs()));
    }
  }

  /** Sheds the least valuable messages before the message store is full. */
  void shedExcess() {
    final int reserve = (int) Math.max(1, STORE_RESERVE * state.maxPendingMessages);
    while (state.pendingMessages > state.maxPendingMessages - reserve) {
      final Destination destination = state.shedCandidates().best(state.nowUs);
      if (destination == null) {
        return;
      }
      endUndelivered(destination.leastValuable(), SHED_RETRY_AFTER_US);
    }
  }

  /** Ends a message with its final outcome: sheds it where that is safe, and fails it otherwise. */
  private void endUndelivered(final PendingMessage message, final long retryAfterUs) {
    if (message.mayShed()) {
      final long maxRetryAfterUs = state.settings.limits().maxRetryAfterUs();
      state.actions.shed(message.id(), Math.min(retryAfterUs, maxRetryAfterUs));
    } else {
      state.actions.fail(message.id());
    }
    end(message);
  }

  /** Ends a message; it is kept until its attempt in flight, if any, has its outcome. */
  void end(final PendingMessage message) {
    if (!message.hasEnded()) {
      state.pendingMessages--;
      message.end();
    }
    dequeue(message);
    if (!message.isInFlight()) {
      remove(message);
    }
  }

  private void remove(final PendingMessage message) {
    keyOrdering.remove(message);
    messages.remove(message.id());
    final Destination destination = message.destination();
    destination.removeMessage();
    if (!destination.hasMessages()) {
      endpointRegistry.markVacant(destination);
    }
  }
}
