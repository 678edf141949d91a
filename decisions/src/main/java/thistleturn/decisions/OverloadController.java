package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * Decides for one courier which message is sent when and where, so that no destination is
 * overloaded and the messages that lose most by waiting go first.
 *
 * <p>Events only update the state; {@link #decide} runs the decision round that acts on it. The
 * parts and their tasks:
 *
 * <ul>
 *   <li>{@link PendingMessages} accepts messages and ends each exactly once, before its deadline.
 *   <li>{@link EndpointRegistry} applies the endpoint list; each destination has one {@link Route},
 *       or several where its kind keeps routes separate.
 *   <li>{@link CallDispatcher} sends: the message that {@link MessageScheduler} finds most urgent,
 *       to the endpoint that {@link EndpointSelector} finds least loaded, when {@link
 *       SendPermission} allows.
 *   <li>{@link OutlierDetector} records outcomes, and opens and closes circuits; {@link
 *       OverdueCallDetector} detects calls that are overdue.
 *   <li>{@link RouteStepper} adjusts windows and rates once a second, by {@link ConcurrencyPolicy}.
 * </ul>
 *
 * <p>The cost of a round depends on what has changed since the last one, not on how many messages
 * and routes there are: times are kept in heaps, waiting messages in ordered queues and routes in
 * rankings, and every event marks the destinations that it changes ({@link
 * ControllerState#markChanged}). The design and its invariants are in {@code
 * docs/design/decisions.md} and {@code scale.md}.
 *
 * <p>Not thread-safe: one decision loop calls it.
 */
public final class OverloadController implements HostedController {
  static final long SECOND_US = 1_000_000;

  /** A time that is never reached. */
  static final long NEVER = Long.MAX_VALUE;

  /** Time budget for re-ranking one route whose urgency has changed by time alone, us. */
  private static final long RANKING_BUDGET_US = 20;

  private final ControllerState state;
  private final EndpointRegistry endpointRegistry;
  private final KeyOrdering keyOrdering;
  private final PendingMessages messages;
  private final ConcurrencyPolicy concurrencyPolicy;
  private final SendPermission sendPermission;
  private final IdleConnectionPolicy idleConnections;
  private final OverdueCallDetector overdueCalls;
  private final OutlierDetector outlierDetector;
  private final RouteStepper routeStepper;
  private final CallDispatcher callDispatcher;
  private final WakeUpScheduler wakeUpScheduler;

  /** Creates a controller without learned state; {@code seed} is its only source of randomness. */
  public OverloadController(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    this(settings, seed, actions, RANKING_BUDGET_US, true, true, true);
  }

  /** Returns a controller that does not classify rejections and failures, for comparison. */
  public static DeliveryController withoutFaultClassification(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, RANKING_BUDGET_US, false, true, true);
  }

  /** Returns a controller that does not limit itself to a rate share, for comparison. */
  public static DeliveryController withoutRateSharing(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, RANKING_BUDGET_US, true, false, true);
  }

  /**
   * Returns a controller that observes its rate share strictly even in a vast fleet, for
   * comparison.
   */
  public static DeliveryController withStrictRateShares(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, RANKING_BUDGET_US, true, true, false);
  }

  /**
   * Creates a controller with individual features switched on or off.
   *
   * @param rankingBudgetUs time budget for re-ranking what time alone has changed, us; 0: no limit
   * @param classifiesFaults whether rejections, failures and initial growth are classified
   * @param sharesRates whether this courier limits itself to its share of a reported rate
   * @param relaxesSmallShares whether a very small share is observed less strictly in a vast fleet
   */
  OverloadController(
      final DeliverySettings settings,
      final long seed,
      final DeliveryActions actions,
      final long rankingBudgetUs,
      final boolean classifiesFaults,
      final boolean sharesRates,
      final boolean relaxesSmallShares) {
    state =
        new ControllerState(
            settings, seed, actions, classifiesFaults, sharesRates, relaxesSmallShares);
    final RetryPolicy retryPolicy = new RetryPolicy(state);
    final EndpointSelector endpointSelector = new EndpointSelector(state);
    endpointRegistry = new EndpointRegistry(state);
    keyOrdering = new KeyOrdering(state);
    messages = new PendingMessages(state, retryPolicy, keyOrdering, endpointRegistry);
    concurrencyPolicy = new ConcurrencyPolicy(state);
    sendPermission = new SendPermission(state, concurrencyPolicy);
    idleConnections = new IdleConnectionPolicy(state, sendPermission);
    overdueCalls = new OverdueCallDetector(state);
    outlierDetector = new OutlierDetector(state, concurrencyPolicy, idleConnections);
    routeStepper = new RouteStepper(state, concurrencyPolicy);
    wakeUpScheduler = new WakeUpScheduler(state);
    final MessageScheduler messageScheduler =
        new MessageScheduler(state, sendPermission, endpointSelector, retryPolicy, rankingBudgetUs);
    callDispatcher =
        new CallDispatcher(
            state,
            messageScheduler,
            endpointSelector,
            retryPolicy,
            idleConnections,
            overdueCalls,
            messages);
  }

  // ---------------------------------------------------------------- the decision round

  @Override
  public void decide(final long nowUs) {
    state.nowUs = nowUs;
    state.tick++;
    overdueCalls.markOverdueCalls();
    takeStepIfDue();
    endpointRegistry.subscribeIfDue();
    checkChangedRoutes();
    messages.endExpired();
    callDispatcher.sendMostUrgent();
    overdueCalls.cancelLongestOverdue();
    messages.shedExcess();
    wakeUpScheduler.wakeAt(nextRoundUs());
  }

  private void takeStepIfDue() {
    if (routeStepper.isDue()) {
      routeStepper.takeStep();
      idleConnections.extendTrust();
      endpointRegistry.removeUnused();
      keyOrdering.removeEmptyQueues();
    }
  }

  /** Checks the circuits of the routes that events or time have changed. */
  private void checkChangedRoutes() {
    overdueCalls.recordRound();
    state.markChangedByTime();
    keyOrdering.releaseSettled();
    for (final Destination destination : state.takeChangedDestinations()) {
      if (destination.hasMessages()) {
        for (final Route route : destination.routes()) {
          outlierDetector.checkCircuit(route);
        }
      }
    }
  }

  /**
   * Returns the earliest time at which the next round has work without an event: a send time, a
   * deadline, an overdue call or a step.
   */
  private long nextRoundUs() {
    long nextUs = Math.min(routeStepper.nextStepUs(), endpointRegistry.nextSubscribeUs());
    nextUs = Math.min(nextUs, messages.nextExpiryUs());
    nextUs = Math.min(nextUs, overdueCalls.nextOverdueUs());
    nextUs = Math.min(nextUs, state.routeTimers.earliestDueUs());
    nextUs = Math.min(nextUs, keyOrdering.nextSettledUs());
    // Set if another overdue call may be cancelled, or a message may proceed since its last check.
    return Math.min(nextUs, state.nextRoundUs);
  }

  // ---------------------------------------------------------------- events of messages

  @Override
  public void onMessage(final long nowUs, final Message message) {
    state.nowUs = nowUs;
    messages.accept(message);
  }

  @Override
  public void onMessageResumed(
      final long nowUs, final Message message, final PriorAttempts priorAttempts) {
    state.nowUs = nowUs;
    messages.resume(message, priorAttempts);
  }

  @Override
  public void onMessageInterrupted(
      final long nowUs, final Message message, final PriorAttempts priorAttempts) {
    state.nowUs = nowUs;
    messages.resumeInterrupted(message, priorAttempts);
  }

  @Override
  public void onInterruptionEnded(final long nowUs, final String messageId) {
    state.nowUs = nowUs;
    final PendingMessage message = messages.find(messageId);
    if (message != null && !message.isWaiting() && !message.isInFlight()) {
      messages.continueResumed(message);
    }
  }

  @Override
  public void onPossibleExecution(
      final long nowUs, final String messageId, final long sentUs, final String zone) {
    state.nowUs = nowUs;
    final PendingMessage message = messages.find(messageId);
    if (message == null || message.hasEnded()) {
      return;
    }
    message.recordPossibleExecution(sentUs, zone);
    keyOrdering.beginSettleDelay(message);
    if (message.isWaiting()) {
      messages.dequeue(message);
      messages.enqueue(message);
    }
  }

  @Override
  public void onAttemptsExhausted(final long nowUs, final String messageId) {
    state.nowUs = nowUs;
    final PendingMessage message = messages.find(messageId);
    if (message == null || message.hasEnded()) {
      return;
    }
    message.exhaustAttempts();
    if (message.isWaiting()) {
      messages.dequeue(message);
      messages.enqueue(message);
    }
  }

  @Override
  public void onCallAdopted(
      final long nowUs,
      final Message message,
      final PriorAttempts priorAttempts,
      final long endpointId,
      final long sentUs,
      final boolean sameCall) {
    onMessageResumed(nowUs, message, priorAttempts);
    final PendingMessage resumed = messages.find(message.id());
    messages.dequeue(resumed);
    callDispatcher.adopt(resumed, state.endpoints.get(endpointId), sentUs, sameCall);
  }

  @Override
  public void onMessageAbandoned(final long nowUs, final String messageId) {
    state.nowUs = nowUs;
    final PendingMessage message = messages.find(messageId);
    if (message != null) {
      messages.end(message);
    }
  }

  @Override
  public void onOutcome(final long nowUs, final AttemptOutcome outcome) {
    state.nowUs = nowUs;
    final PendingMessage message = messages.find(outcome.messageId());
    if (message == null || !message.isInFlight()) {
      return;
    }
    final InFlightCall call = message.call();
    state.tick++;
    overdueCalls.markOverdueCalls();
    overdueCalls.avoidIfUnresponsive(call.endpoint());
    state.markChanged(call.route().destination());
    message.endAttempt();
    overdueCalls.recordOutcome(call, message);
    recordEffect(message, call, outcome);
    if (outcome.isLastAttempt()) {
      message.exhaustAttempts();
    }
    if (call.isComplete()) {
      callDispatcher.endCall(call);
    }
    outlierDetector.recordOutcome(call, message, outcome);
    if (outcome.isFinal() || message.hasEnded()) {
      messages.end(message);
    } else {
      messages.enqueue(message);
    }
  }

  private void recordEffect(
      final PendingMessage message, final InFlightCall call, final AttemptOutcome outcome) {
    if (outcome.neverExecuted()) {
      return;
    }
    message.recordPossibleExecution(call.sentUs(), call.endpoint().zone());
    if (!outcome.result().hasAnswer()) {
      keyOrdering.beginSettleDelay(message);
    }
  }

  // ---------------------------------------------------------------- events of endpoints

  @Override
  public void onEndpointList(
      final long nowUs, final EndpointUpdate update, final List<Endpoint> entries) {
    state.nowUs = nowUs;
    endpointRegistry.applyUpdate(update, entries);
  }

  @Override
  public void onRetryAfter(final long nowUs, final long endpointId, final long retryAfterUs) {
    state.nowUs = nowUs;
    final EndpointHealth endpoint = state.endpoints.get(endpointId);
    if (endpoint != null) {
      endpoint.route().pacing().holdUntil(nowUs + retryAfterUs);
      state.markChanged(endpoint.route().destination());
    }
  }

  @Override
  public void onEndpointEnabled(final long nowUs, final long endpointId) {
    state.nowUs = nowUs;
    final EndpointHealth endpoint = state.endpoints.get(endpointId);
    if (endpoint == null || !endpoint.acceptsCalls(nowUs)) {
      return;
    }
    final Route route = endpoint.route();
    final boolean othersServe =
        route.endpoints().stream()
            .anyMatch(other -> other != endpoint && other.acceptsCalls(nowUs));
    if (route.circuit().isClosed() && !othersServe) {
      state.markChanged(route.destination());
      outlierDetector.beginRecovery(route, nowUs);
    }
  }

  @Override
  public boolean onEndpointDirective(
      final long nowUs, final long endpointId, final Directive directive) {
    state.nowUs = nowUs;
    final EndpointHealth endpoint = state.endpoints.get(endpointId);
    if (endpoint == null) {
      return false;
    }
    endpoint.applyDirective(directive, nowUs);
    state.markChanged(endpoint.route().destination());
    return true;
  }

  @Override
  public boolean onDestinationDirective(
      final long nowUs, final long destinationId, final Directive directive) {
    state.nowUs = nowUs;
    final Destination destination = state.destinations.get(destinationId);
    if (destination == null || destination.routes().isEmpty()) {
      return false;
    }
    destination.applyDirective(directive, nowUs);
    if (directive.isActive(nowUs)) {
      destination.routes().forEach(route -> outlierDetector.applyDirective(route, directive));
    }
    state.markChanged(destination);
    return true;
  }

  // ---------------------------------------------------------------- events of this courier

  @Override
  public void onCapacityChanged(
      final long nowUs, final int concurrencyLimit, final int maxPendingMessages) {
    state.nowUs = nowUs;
    state.concurrencyLimit = concurrencyLimit;
    state.maxPendingMessages = maxPendingMessages;
    List.copyOf(state.activeRoutes).forEach(route -> state.markChanged(route.destination()));
  }

  @Override
  public void onStopping(final long nowUs, final long stopAtUs) {
    state.nowUs = nowUs;
    state.stopAtUs = stopAtUs;
    routeStepper.publishLatencies(0);
    state.destinations.values().forEach(state::markChanged);
  }

  @Override
  public void onHostPaused(final long nowUs, final long pauseUs) {
    state.nowUs = nowUs;
    overdueCalls.extendDeadlines(pauseUs);
    state.destinations.values().forEach(one -> one.backlogDrain().restartAfterPause(nowUs));
  }

  /** Ends expired messages before any other event is processed, after this courier was delayed. */
  public void onDecisionsDelayed(final long nowUs) {
    state.nowUs = nowUs;
    messages.endExpired();
  }

  @Override
  public void onConnectivityRestored(final long nowUs, final long sinceUs) {
    state.nowUs = nowUs;
    for (final Destination destination : state.destinations.values()) {
      boolean anyUndone = false;
      for (final Route route : destination.routes()) {
        anyUndone |= route.undoFaultsSince(sinceUs, nowUs);
      }
      if (anyUndone) {
        state.circuitTransitions++;
        state.markChanged(destination);
      }
    }
  }

  // ---------------------------------------------------------------- learned state

  @Override
  public LearnedState learnedState() {
    return LearnedState.of(
        state.latencies,
        idleConnections.trustedIdleUs(),
        routeStepper.lastStepUs(),
        state.endpoints.values());
  }

  @Override
  public void onLearnedState(final long nowUs, final LearnedState learned) {
    state.nowUs = nowUs;
    learned.restore(state.endpoints, state.latencies, nowUs);
    idleConnections.restoreTrust(learned.trustedIdleUs());
    routeStepper.publishLatencies(0);
    state.destinations.values().forEach(state::markChanged);
    state.endpoints.values().stream()
        .map(EndpointHealth::route)
        .filter(route -> route.circuit().isRecovering())
        .forEach(state::scheduleRecoveryEnd);
  }

  // ---------------------------------------------------------------- status

  /** Returns the listed endpoints that faults exclude from calls now, or limit to single trials. */
  public List<Long> avoidedEndpoints() {
    return state.endpoints.values().stream()
        .filter(endpoint -> endpoint.isAvoided(state.nowUs))
        .map(EndpointHealth::id)
        .toList();
  }

  /**
   * Returns the number of circuit transitions: when it changes, the learned state is worth saving.
   */
  public long circuitTransitions() {
    return state.circuitTransitions;
  }

  public int callsInFlight() {
    return state.callsInFlight;
  }

  /** Returns whether a message is ready to be sent but no capacity is left. */
  public boolean needsMoreCapacity() {
    return state.callsInFlight >= state.concurrencyLimit && state.readyRoutes().size() > 0;
  }

  /** Returns the status of each route, with the reason why its next message is not sent. */
  public List<RouteStatus> routes() {
    return state.destinations.values().stream()
        .flatMap(destination -> destination.routes().stream())
        .map(this::statusOf)
        .toList();
  }

  /** Returns the reason why the next message of a destination is not sent, in a sentence. */
  public String blockedReason(final long destinationId) {
    final Destination destination = state.destinations.get(destinationId);
    if (destination == null || destination.routes().isEmpty()) {
      return "none of its endpoints is listed for use";
    }
    return statusOf(destination.routes().get(0)).blockedReason();
  }

  private RouteStatus statusOf(final Route route) {
    return RouteStatus.of(
        route, state.nowUs, sendPermission.sendAllowedAtUs(route), concurrencyPolicy.limit(route));
  }

  /** Returns the number of destinations in memory. */
  int destinationCount() {
    return state.destinations.size();
  }
}
