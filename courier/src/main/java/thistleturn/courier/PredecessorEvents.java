package thistleturn.courier;

import java.util.function.Supplier;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.model.AttemptResult;

/**
 * Passes to the decision loop what the predecessor reports: messages of the clients that are still
 * connected to it, and the outcomes of calls that it carries out.
 */
final class PredecessorEvents implements HandoverClient.Listener {
  private static final Dispatcher.DispatchOutcome RESET =
      new Dispatcher.DispatchOutcome(AttemptResult.RESET, false, 0, null);

  private final LoopContext context;
  private final Dispatcher dispatcher;
  private final PredecessorCalls calls;
  private final Supplier<InterruptedAttempts> interruption;
  private final Dispatcher.Listener outcomes;
  private final DecisionLoop loop;

  /**
   * Creates a listener that passes messages to {@code loop}.
   *
   * @param outcomes receives the outcomes of calls
   * @param interruption creates the attempts that wait for the end of the older process
   */
  PredecessorEvents(
      final LoopContext context,
      final Dispatcher dispatcher,
      final PredecessorCalls calls,
      final Supplier<InterruptedAttempts> interruption,
      final Dispatcher.Listener outcomes,
      final DecisionLoop loop) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.calls = calls;
    this.interruption = interruption;
    this.outcomes = outcomes;
    this.loop = loop;
  }

  @Override
  public void onMessageSubmitted(final StoredMessage message, final Ingress.Reply reply) {
    final long nowUs = context.clock().nowUs();
    message.startTimeline(new MessageTimeline(nowUs, nowUs, nowUs, message.deadlineUs()));
    if (context.classes().contains(message.className())) {
      loop.submit(message, message.deadlineUs(), reply);
    } else {
      reply.failed();
    }
  }

  @Override
  public void withdraw(final Submission submission) {
    loop.withdraw(submission);
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

  /**
   * Resets the calls of the older process once that has ended: they may have been executed, or may
   * still be in flight.
   */
  @Override
  public void onPredecessorDisconnected() {
    final InterruptedAttempts interrupted = interruption.get();
    for (final String messageId : calls.messageIds()) {
      interrupted.add(calls.get(messageId).message(), () -> onRemoteOutcome(messageId, RESET));
    }
    interrupted.awaitEnd();
  }
}
