package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.PriorAttempts;

/**
 * Turns the attempts of a decision round into calls: collects them by endpoint, records each in the
 * journal, and has the call start once the journal is flushed. Also abandons calls, of this process
 * or of an older one.
 */
final class CallDispatcher {
  private final LoopContext context;
  private final EventLoop loop;
  private final DecisionLoop.Ports ports;
  private final Dispatcher dispatcher;
  private final DurableEffects effects;
  private final PredecessorCalls predecessorCalls;
  private final Map<Long, List<DeliveryAttempt>> attemptsByEndpoint = new LinkedHashMap<>();

  CallDispatcher(
      final LoopContext context,
      final EventLoop loop,
      final DecisionLoop.Ports ports,
      final Dispatcher dispatcher,
      final DurableEffects effects,
      final PredecessorCalls predecessorCalls) {
    this.context = context;
    this.loop = loop;
    this.ports = ports;
    this.dispatcher = dispatcher;
    this.effects = effects;
    this.predecessorCalls = predecessorCalls;
  }

  /** Collects an attempt until the end of this round. */
  void addAttempt(final PendingDelivery delivery, final long endpoint, final long timeoutUs) {
    attemptsByEndpoint
        .computeIfAbsent(endpoint, unused -> new ArrayList<>())
        .add(new DeliveryAttempt(delivery, timeoutUs, latestSendUs(delivery)));
  }

  /**
   * Returns the latest time for the first byte, which may be sent long after the decision if the
   * loop is blocked or the connection is slow.
   */
  private static long latestSendUs(final PendingDelivery delivery) {
    final PriorAttempts prior = delivery.message().priorAttempts();
    return delivery
        .messageClass()
        .retryDeadlineUs(prior.mayHaveExecuted(), prior.firstExecutionUs());
  }

  /** Prepares and records the calls of this round. */
  void prepareCalls() {
    attemptsByEndpoint.forEach(
        (endpoint, attempts) ->
            GuardedTasks.guard("calls to an endpoint", () -> prepareCalls(endpoint, attempts))
                .run());
    attemptsByEndpoint.clear();
  }

  private void prepareCalls(final long endpoint, final List<DeliveryAttempt> attempts) {
    final int batchSize = Math.max(1, context.endpoints().messagesPerCall(endpoint));
    for (int from = 0; from < attempts.size(); from += batchSize) {
      prepareCall(endpoint, attempts.subList(from, Math.min(attempts.size(), from + batchSize)));
    }
  }

  private void prepareCall(final long endpoint, final List<DeliveryAttempt> batch) {
    final Dispatcher.Call call = dispatcher.prepare(endpoint, batch);
    for (final DeliveryAttempt attempt : batch) {
      reportIfEnded(attempt, endpoint);
      attempt.delivery().startCall(call);
      if (attempt.message().timeline() != null) {
        attempt.message().timeline().markAttemptStarted(context.clock().nowUs());
      }
      context
          .store()
          .recordAttemptStarted(
              attempt.message(), context.clock().nowUs(), context.endpoints().zoneOf(endpoint));
    }
    effects.addCall(call);
  }

  /** No attempt follows the end of its message: each such event is a fault of this courier. */
  private void reportIfEnded(final DeliveryAttempt attempt, final long endpoint) {
    final MessageEnd end = context.ended().get(attempt.message().id());
    if (end != null) {
      Log.event(
          Event.ATTEMPT_AFTER_END,
          "id",
          attempt.message().id(),
          "class",
          attempt.message().className(),
          "endpoint",
          context.endpoints().nameOf(endpoint),
          "attempts",
          attempt.message().attempts(),
          "end",
          end.label());
    }
  }

  /** Abandons a call of this process, or of the older process that makes it. */
  void abandon(final Dispatcher.Call call, final AttemptResult result) {
    if (call instanceof RemoteCall remote) {
      predecessorCalls.abandon(remote, result);
    } else {
      dispatcher.abandon(call, result);
    }
  }

  /** Cancels a call, unless its answer has arrived by now and only has to be read. */
  void cancelAfterPoll(final Dispatcher.Call call) {
    final long decidedUs = context.clock().nowUs();
    loop.execute(() -> ports.afterPoll(decidedUs, () -> abandon(call, AttemptResult.CANCELLED)));
  }
}
