package thistleturn.courier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.HostedController;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * Passes to the controller the messages that an earlier process of this courier left in the
 * journal, and the calls that the predecessor still carries out.
 */
final class PendingMessageRecovery {
  /** The controller's kind index of an endpoint of no known kind. */
  private static final int NO_KIND = -1;

  private final LoopContext context;
  private final OutcomeNotifier notifier;
  private final MessageCompletion completion;
  private final PredecessorCalls predecessorCalls;
  private final HostedController controller;
  private final Consumer<PendingDelivery> onInterruptionEnded;

  PendingMessageRecovery(
      final LoopContext context,
      final OutcomeNotifier notifier,
      final MessageCompletion completion,
      final PredecessorCalls predecessorCalls,
      final HostedController controller,
      final Consumer<PendingDelivery> onInterruptionEnded) {
    this.context = context;
    this.notifier = notifier;
    this.completion = completion;
    this.predecessorCalls = predecessorCalls;
    this.controller = controller;
    this.onInterruptionEnded = onInterruptionEnded;
  }

  /**
   * Recovers every message in the journal that is not pending yet. A message whose attempt an
   * earlier process may still have in flight waits until that attempt has ended.
   *
   * @return the number of messages whose delivery is resumed
   */
  int recoverMessages(final InterruptedAttempts interrupted) {
    int resumed = 0;
    for (final StoredMessage message : context.store().pendingMessages()) {
      if (context.pending().contains(message.id())) {
        continue;
      }
      if (message.storedOutcome() != null) {
        message.end(message.storedOutcome());
        notifier.enqueue(message);
      } else if (context.classes().contains(message.className())) {
        resume(message, interrupted);
        resumed++;
      } else {
        failUnknownClass(message);
      }
    }
    interrupted.awaitEnd();
    return resumed;
  }

  private void resume(final StoredMessage message, final InterruptedAttempts interrupted) {
    final PendingDelivery delivery = pendingDelivery(message);
    final PriorAttempts prior = message.priorAttempts();
    context.pending().add(delivery);
    if (message.hasAttemptInFlight() && !interrupted.hasEnded(message)) {
      controller.onMessageInterrupted(
          context.clock().nowUs(), toControllerMessage(delivery), prior);
      interrupted.add(message, () -> onInterruptionEnded.accept(delivery));
    } else {
      if (message.hasAttemptInFlight()) {
        context.store().recordAttemptOutcome(message, false);
      }
      controller.onMessageResumed(context.clock().nowUs(), toControllerMessage(delivery), prior);
    }
  }

  private void failUnknownClass(final StoredMessage message) {
    completion.finish(
        new PendingDelivery(message, null, 0, null), new StoredMessage.FinalOutcome(true, 0));
  }

  /**
   * Adopts the calls that the predecessor still carries out.
   *
   * @param endpointIds maps the predecessor's endpoint ids to those of this process; ids of
   *     endpoints that are not listed any more are added
   */
  void adoptCalls(
      final List<HandoverSnapshot.InFlightRemoteCall> calls, final Map<Long, Long> endpointIds) {
    final Map<String, StoredMessage> messages = new HashMap<>();
    context.store().pendingMessages().forEach(message -> messages.put(message.id(), message));
    final List<Endpoint> unlisted = new ArrayList<>();
    for (final HandoverSnapshot.InFlightRemoteCall call : calls) {
      final long endpoint =
          endpointIds.computeIfAbsent(
              call.endpoint(), unused -> addUnlisted(call.destination(), unlisted));
      adoptCall(call, new RemoteCall(call.number(), endpoint, call.sentUs()), messages);
    }
    removeUnlisted(unlisted);
  }

  /**
   * Adds an endpoint that is not listed any more but still has a call in flight; it gets no others.
   */
  private long addUnlisted(final long destination, final List<Endpoint> unlisted) {
    final long id = context.endpoints().allocateUnlistedId();
    final Endpoint endpoint = new Endpoint(id, EndpointState.DRAINING, "", 0, NO_KIND, destination);
    unlisted.add(endpoint);
    controller.onEndpointList(
        context.clock().nowUs(), EndpointUpdate.SUPPLEMENT, List.of(endpoint));
    return id;
  }

  private void removeUnlisted(final List<Endpoint> unlisted) {
    final List<Endpoint> gone =
        unlisted.stream()
            .map(
                endpoint ->
                    new Endpoint(
                        endpoint.id(),
                        EndpointState.GONE,
                        "",
                        0,
                        NO_KIND,
                        endpoint.destinationId()))
            .toList();
    controller.onEndpointList(context.clock().nowUs(), EndpointUpdate.SUPPLEMENT, gone);
  }

  private void adoptCall(
      final HandoverSnapshot.InFlightRemoteCall described,
      final RemoteCall call,
      final Map<String, StoredMessage> messages) {
    boolean sameCall = false;
    for (final String messageId : described.messageIds()) {
      final StoredMessage message = messages.get(messageId);
      if (message != null && isInFlight(message)) {
        adoptMessage(message, call, sameCall);
        sameCall = true;
      }
    }
  }

  private boolean isInFlight(final StoredMessage message) {
    return context.classes().contains(message.className())
        && message.storedOutcome() == null
        && message.hasAttemptInFlight();
  }

  private void adoptMessage(
      final StoredMessage message, final RemoteCall call, final boolean sameCall) {
    final PendingDelivery delivery = pendingDelivery(message);
    delivery.startCall(call);
    context.pending().add(delivery);
    predecessorCalls.add(message.id(), new DeliveryAttempt(delivery, 0, 0));
    final boolean mayHaveRun = message.firstExecutionUs() != StoredMessage.NEVER;
    final PriorAttempts prior =
        new PriorAttempts(
            message.attempts(),
            mayHaveRun,
            mayHaveRun ? message.firstExecutionUs() : 0,
            message.executionZone());
    controller.onCallAdopted(
        context.clock().nowUs(),
        toControllerMessage(delivery),
        prior,
        call.endpoint(),
        call.preparedUs(),
        sameCall);
  }

  private PendingDelivery pendingDelivery(final StoredMessage message) {
    return new PendingDelivery(
        message, context.classes().get(message.className()), message.deadlineUs(), null);
  }

  private Message toControllerMessage(final PendingDelivery delivery) {
    return delivery.toControllerMessage(context.classes().indexOf(delivery.message().className()));
  }
}
