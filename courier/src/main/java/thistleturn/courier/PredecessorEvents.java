package thistleturn.courier;

import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.AttemptResult;

/**
 * Brings what an older process of this courier reports into the loop: messages of the clients that
 * are still connected to it, and the outcomes of calls that it carries out.
 */
final class PredecessorEvents implements HandoverClient.Listener {
  private static final Dispatcher.DispatchOutcome RESET =
      new Dispatcher.DispatchOutcome(AttemptResult.RESET, false, 0, null);

  private final LoopContext context;
  private final Dispatcher dispatcher;
  private final PredecessorCalls calls;
  private final IngressHandler handler;
  private final Dispatcher.Listener outcomes;

  /** Messages go to {@code handler}, and outcomes to {@code outcomes}. */
  PredecessorEvents(
      final LoopContext context,
      final Dispatcher dispatcher,
      final PredecessorCalls calls,
      final IngressHandler handler,
      final Dispatcher.Listener outcomes) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.calls = calls;
    this.handler = handler;
    this.outcomes = outcomes;
  }

  @Override
  public void onMessageSubmitted(final StoredMessage message, final Ingress.Reply reply) {
    final long nowUs = context.clock().nowUs();
    message.startTimeline(new MessageTimeline(nowUs, nowUs, nowUs, message.deadlineUs()));
    if (context.classes().contains(message.className())) {
      handler.submit(message, message.deadlineUs(), reply);
    } else {
      reply.failed();
    }
  }

  @Override
  public void withdraw(final String messageId, final long destination) {
    handler.withdraw(messageId, destination);
  }

  @Override
  public void onRemoteOutcome(final String messageId, final Dispatcher.DispatchOutcome outcome) {
    final DeliveryAttempt attempt = calls.remove(messageId);
    if (attempt == null) {
      return;
    }
    final Dispatcher.Call call = attempt.delivery().call();
    if (outcome.retryAfterUs() > 0) {
      dispatcher.abandonUnwrittenCalls(call.endpoint());
    }
    outcomes.onOutcome(attempt, call, outcome);
  }

  /** The older process has ended: what it had in flight may have been executed. */
  @Override
  public void onPredecessorGone() {
    calls.messageIds().forEach(messageId -> onRemoteOutcome(messageId, RESET));
  }
}
