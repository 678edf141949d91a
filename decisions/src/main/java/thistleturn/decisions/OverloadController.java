package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.index.Ranking;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * Every decision of one courier; its interface is {@code Courier.java}. A pass is read here from
 * top to bottom, and what it consists of stands in rooms of one concern each:
 *
 * <ol>
 *   <li>A message waits here until its destination lets it go; one attempt at a time, ended once
 *       and in time.
 *   <li>Each destination (each route, where routes are apart) is a {@link Route}. Once a second the
 *       paper's Table I moves its {@link ConcurrencyWindow} on calls in flight from latency and
 *       refusals.
 *   <li>Of the messages that may go, the one that loses most by waiting goes first ({@link
 *       MessageScheduler}), to the endpoint with least of ours in flight, recent trouble,
 *       handshakes and zones to cross ({@link EndpointSelector}).
 *   <li>What keeps a lane from sending is its {@link SendPermission}: a told wait is heeded by the
 *       whole lane; after a refusal without one it pauses, unless that is read as noise ({@code
 *       decisions.noise}). What other subsystems say of it ({@link Directive}) binds here too.
 *   <li>A lane that returns nothing but trouble is OUT: single trials, as many as a cold one bears;
 *       after the first success it is on a RAMP, paced under the tipping rate until it is surely
 *       warm ({@link OutlierDetector}).
 *   <li>Silence is counted before a time-out and may not eat the slots ({@link
 *       OverdueCallDetector}).
 *   <li>What can be in time no more, or gains least when the store is full, is refused where that
 *       is harmless.
 *   <li>The list is followed ({@link EndpointRegistry}); nothing new goes to an endpoint that
 *       drains or is gone.
 * </ol>
 *
 * A pass costs what has changed since the last one, not what there is: time is kept in heaps,
 * messages that wait in ordered lines, lanes in a ranking; what an event changes about a
 * destination is told by {@link ControllerState#markChanged}. The rooms and their invariants:
 * {@code docs/design/decisions.md}, {@code scale.md}.
 */
public final class OverloadController implements DeliveryController {
  static final long SECOND_US = 1_000_000;
  static final long NEVER = Long.MAX_VALUE;

  /** What each further message in a call weighs on a cold destination, in calls. A default. */
  private static final double BATCHED_MESSAGE_WEIGHT = 0.2;

  /**
   * Share of the store that is kept free by refusing what has least to gain: the door refuses
   * blindly.
   */
  private static final double STORE_RESERVE = 0.05;

  /**
   * A class's mean time, as the choice among messages reckons with it, is noted anew at such a
   * change.
   */
  private static final double LATENCY_PUBLISH_THRESHOLD = 0.25;

  /**
   * Time for a look at one lane whose urgency has changed by time alone, us: some percent of a
   * core.
   */
  private static final long RANKING_BUDGET_US = 20;

  private final ControllerState state;
  private final ConcurrencyWindow concurrencyWindow;
  private final SendPermission sendPermission;
  private final EndpointSelector endpointSelector;
  private final RetryPolicy retryPolicy;
  private final MessageScheduler messageScheduler;
  private final IdleConnectionPolicy idleConnections;
  private final OverdueCallDetector overdueCalls;
  private final OutlierDetector outlierDetector;
  private final KeyOrdering keyOrdering;
  private final EndpointRegistry endpointRegistry;
  private final TenantQuotas tenantQuotas;
  private final Map<String, PendingMessage> messages = new HashMap<>();

  /** When messages that wait are ended. */
  private final TimeHeap<MessageDeadline> deadlines = new TimeHeap<>();

  private final TreeSet<Long> scheduledWakeUps = new TreeSet<>();
  private InFlightCall lastAdoptedCall;
  private long nextStepUs;

  /** Messages taken; waits begun. */
  private long nextSequence, nextQueuePosition;

  /**
   * A courier that knows nothing yet but its settings; {@code seed} is its only source of chance.
   */
  public OverloadController(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    this(settings, seed, actions, RANKING_BUDGET_US, true, true, true);
  }

  /** One that takes refusals, failures and first seconds as they come: to compare with. */
  public static DeliveryController withoutFaultClassification(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, RANKING_BUDGET_US, false, true, true);
  }

  /**
   * One that keeps to no even part, and keeps no connection for it is one of many: to compare with.
   */
  public static DeliveryController withoutRateSharing(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, RANKING_BUDGET_US, true, false, true);
  }

  /** One that keeps to its even part in a vast fleet as in any other: to compare with. */
  public static DeliveryController withStrictRateShares(
      final DeliverySettings settings, final long seed, final DeliveryActions actions) {
    return new OverloadController(settings, seed, actions, RANKING_BUDGET_US, true, true, false);
  }

  /**
   * As told, with the time that is given to a look at what time alone has changed, us (0: all,
   * always), whether refusals and first seconds are read ({@code noise}), rates are shared, and
   * thin parts are deep.
   */
  OverloadController(
      final DeliverySettings settings,
      final long seed,
      final DeliveryActions actions,
      final long lookUs,
      final boolean learns,
      final boolean shares,
      final boolean thin) {
    this.state = new ControllerState(settings, seed, actions, learns, shares, thin);
    this.concurrencyWindow = new ConcurrencyWindow(state);
    this.sendPermission = new SendPermission(state, concurrencyWindow);
    this.endpointSelector = new EndpointSelector(state);
    this.retryPolicy = new RetryPolicy(state);
    this.messageScheduler =
        new MessageScheduler(state, sendPermission, endpointSelector, retryPolicy, lookUs);
    this.idleConnections = new IdleConnectionPolicy(state, sendPermission);
    this.overdueCalls = new OverdueCallDetector(state);
    this.outlierDetector = new OutlierDetector(state, concurrencyWindow, idleConnections);
    this.keyOrdering = new KeyOrdering(state);
    this.endpointRegistry = new EndpointRegistry(state);
    this.tenantQuotas = new TenantQuotas(settings);
  }

  // ---------------------------------------------------------------- events

  @Override
  public void onMessage(final long now, final Message message) {
    state.nowUs = now;
    final PendingMessage job =
        new PendingMessage(
            message, state.settings.classes().get(message.classIndex()), nextSequence++);
    messages.put(message.id(), job);
    state.pendingMessages++;
    job.overQuota = tenantQuotas.recordAndCheckExceeded(message.tenantIndex(), state.nowUs);
    job.destination = state.destination(message.destinationId());
    job.destination.openMessages++;
    keyOrdering.enqueue(job);
    enqueue(job);
  }

  @Override
  public void onMessageResumed(final long now, final Message message, final PriorAttempts past) {
    onMessage(now, message);
    final PendingMessage job = messages.get(message.id());
    dequeue(job);
    job.attempts = past.attempts();
    job.mayHaveExecuted = past.mayHaveExecuted();
    if (job.mayHaveExecuted) {
      job.firstExecutionUs = past.firstExecutionUs();
      job.executionZone = past.executionZone();
      keyOrdering.beginSettleDelay(job);
      keyOrdering.refreshHead(job.keyQueue);
    }
    enqueue(job);
  }

  /**
   * A message with a call that another process of this courier has out: its outcome is told here.
   * Those of one call come one behind the other; {@code past} does not reckon with it.
   */
  public void onCallAdopted(
      final long now,
      final Message message,
      final PriorAttempts past,
      final long endpoint,
      final long sentUs,
      final boolean sameCall) {
    onMessageResumed(now, message, past);
    final PendingMessage job = messages.get(message.id());
    dequeue(job);
    final EndpointHealth node = state.endpoints.get(endpoint);
    final InFlightCall call = sameCall ? lastAdoptedCall : new InFlightCall();
    if (!sameCall) {
      lastAdoptedCall = call;
      call.endpoint = node;
      call.sentUs = sentUs;
      state.callsInFlight++;
      node.route.callsInFlight++;
      node.callsInFlight++;
    }
    call.batchSize = ++call.pendingOutcomes;
    call.expectedUs = Math.max(call.expectedUs, (long) retryPolicy.expectedUs(node.route, job));
    call.pendingMessages.add(job);
    job.call = call;
    overdueCalls.track(call);
  }

  /** What was learnt so far. */
  public LearnedState learnedState() {
    return LearnedState.of(
        state.latencies.meanUs,
        state.latencies.samples,
        idleConnections.trustedIdleUs,
        nextStepUs - SECOND_US,
        state.endpoints.values());
  }

  /**
   * Takes over what another process of this courier had learnt; the list must have been told
   * before.
   */
  public void onLearnedState(final long now, final LearnedState memory) {
    state.nowUs = now;
    idleConnections.trustedIdleUs =
        memory.restore(state.endpoints, state.latencies.meanUs, state.latencies.samples, now);
    publishLatencyMeans(0);
    state.destinations.values().forEach(state::markChanged);
    final long coldUs = state.settings.guarantees().warmUpUs();
    state.endpoints.values().stream()
        .map(node -> node.route)
        .filter(lane -> lane.circuitState == CircuitState.RAMP)
        .forEach(
            lane ->
                state.routeTimers.schedule(
                    lane.recoveryEndTimer, lane.recoverySinceUs + coldUs + 1));
  }

  @Override
  public void onStopping(final long now, final long atUs) {
    state.nowUs = now;
    state.stopAtUs = atUs;
    publishLatencyMeans(0);
    state.destinations.values().forEach(state::markChanged);
  }

  @Override
  public void onCapacityChanged(final long now, final int slotsNow, final int maxOpenNow) {
    state.nowUs = now;
    state.concurrencyLimit = slotsNow;
    state.maxPendingMessages = maxOpenNow;
    List.copyOf(state.activeRoutes).forEach(lane -> state.markChanged(lane.destination));
  }

  @Override
  public void onEndpointList(
      final long now, final EndpointUpdate update, final List<Endpoint> entries) {
    state.nowUs = now;
    endpointRegistry.applyUpdate(update, entries);
  }

  @Override
  public void onOutcome(final long now, final AttemptOutcome outcome) {
    state.nowUs = now;
    final PendingMessage job = messages.get(outcome.messageId());
    if (job == null || job.call == null) {
      return;
    }
    final InFlightCall call = job.call;
    final EndpointHealth node = call.endpoint;
    state.tick++;
    overdueCalls.markOverdueCalls();
    overdueCalls.avoidIfUnresponsive(node);
    state.markChanged(node.route.destination);
    job.call = null;
    overdueCalls.recordOutcome(call, job);
    if (!outcome.result().neverExecuted()) {
      job.mayHaveExecuted = true;
      job.firstExecutionUs = Math.min(job.firstExecutionUs, call.sentUs);
      job.executionZone = node.descriptor.zone();
      if (!outcome.result().hasAnswer()) {
        keyOrdering.beginSettleDelay(job);
      }
    }
    if (--call.pendingOutcomes == 0) {
      state.callsInFlight--;
      node.callsInFlight--;
      node.route.callsInFlight--;
      overdueCalls.untrack(call);
      node.lastUseUs = state.nowUs;
      idleConnections.closeIfNotReused(node, call);
    }
    outlierDetector.recordOutcome(node, call, job, outcome);
    if (outcome.isFinal() || job.ended) {
      complete(job);
    } else {
      enqueue(job);
    }
  }

  /** An endpoint tells to wait from now on, in an answer that is no call's outcome any more. */
  public void onRetryAfter(final long now, final long endpoint, final long waitUs) {
    state.nowUs = now;
    final EndpointHealth node = state.endpoints.get(endpoint);
    if (node != null) {
      node.route.retryAfterUntilUs = Math.max(node.route.retryAfterUntilUs, now + waitUs);
      state.markChanged(node.route.destination);
    }
  }

  /**
   * For so long before now this courier did not run: that is nobody's time-out. What would be
   * overdue falls due later by as much.
   */
  public void onHostPaused(final long now, final long awayUs) {
    state.nowUs = now;
    overdueCalls.extendDeadlines(awayUs);
  }

  /**
   * This courier runs late: what waits and has no time left is ended before anything else is done,
   * since no answer can lie unread for it.
   */
  public void onDecisionsDelayed(final long now) {
    state.nowUs = now;
    endExpiredMessages();
  }

  /**
   * This courier's own way out was gone from a moment on, and is back: nobody was out for that
   * alone.
   */
  public void onConnectivityRestored(final long now, final long sinceUs) {
    state.nowUs = now;
    for (final Destination destination : state.destinations.values()) {
      if (destination.routes.stream()
              .filter(lane -> lane.undoFaultsSince(sinceUs, state.nowUs))
              .count()
          > 0) {
        state.circuitTransitions++;
        state.markChanged(destination);
      }
    }
  }

  @Override
  public void onMessageAbandoned(final long now, final String messageId) {
    state.nowUs = now;
    Optional.ofNullable(messages.get(messageId)).ifPresent(this::complete);
  }

  /**
   * An endpoint that was left out by hand comes back cold, and so does a destination without
   * others.
   */
  public void onEndpointEnabled(final long now, final long endpoint) {
    state.nowUs = now;
    final EndpointHealth node = state.endpoints.get(endpoint);
    if (node != null
        && node.acceptsCalls(now)
        && node.route.circuitState == CircuitState.WELL
        && node.route.endpoints.stream()
            .noneMatch(other -> other != node && other.acceptsCalls(now))) {
      state.markChanged(node.route.destination);
      outlierDetector.beginRecovery(node.route);
    }
  }

  /** A subsystem's word on an endpoint; false if none of that number is known. */
  public boolean onEndpointDirective(final long now, final long endpoint, final Directive word) {
    state.nowUs = now;
    final EndpointHealth node = state.endpoints.get(endpoint);
    if (node != null) {
      node.directives = node.directives.with(word, now);
      state.markChanged(node.route.destination);
    }
    return node != null;
  }

  /** A subsystem's word on a destination; false if none of that number is known. */
  public boolean onDestinationDirective(final long now, final long number, final Directive word) {
    state.nowUs = now;
    final Destination destination = state.destinations.get(number);
    if (destination == null || destination.routes.isEmpty()) {
      return false;
    }
    destination.directives = destination.directives.with(word, now);
    if (word.isActive(now)) {
      destination.routes.forEach(lane -> outlierDetector.applyDirective(lane, word));
    }
    state.markChanged(destination);
    return true;
  }

  // ---------------------------------------------------------------- the pass

  @Override
  public void decide(final long now) {
    state.nowUs = now;
    state.tick++;
    overdueCalls.markOverdueCalls();
    nextStepUs = nextStepUs == 0 ? now + SECOND_US : nextStepUs;
    if (now >= nextStepUs) {
      stepActiveRoutes();
      idleConnections.extendTrust();
      endpointRegistry.removeUnused();
      keyOrdering.removeEmptyQueues();
      nextStepUs += SECOND_US * ((now - nextStepUs) / SECOND_US + 1);
    }
    endpointRegistry.subscribeIfDue();
    detectFaults();
    dispatch();
    overdueCalls.cancelLongestOverdue();
    shedExcessMessages();
    scheduleNextRound();
  }

  /** Takes the step of each lane on which something went on; the others catch up when they wake. */
  private void stepActiveRoutes() {
    state.stepCount++;
    final List<Route> stepping = state.activeRoutes;
    state.activeRoutes = new ArrayList<>();
    for (final Route lane : stepping) {
      lane.active = false;
      lane.stepsTaken = state.stepCount;
      concurrencyWindow.step(lane);
    }
    for (final Route lane : stepping) {
      // Its line is reckoned by its rate, its next send by its spacing: both go on changing.
      final boolean fading =
          lane.destination.waitingMessages > 0
              && (lane.messageRate * lane.destination.routes.size() >= Destination.MIN_RATE
                  || lane.lastSendUs + (long) (SECOND_US / lane.permittedRate) > state.nowUs);
      if (lane.callsInFlight > 0 || fading) {
        state.markChanged(lane.destination);
      } else {
        state.rerank(lane.destination);
      }
    }
    publishLatencyMeans(LATENCY_PUBLISH_THRESHOLD);
  }

  /**
   * Notes the classes' mean times that have changed by more than a share; looks anew at what
   * follows.
   */
  private void publishLatencyMeans(final double change) {
    if (state.latencies.publishMeans(change)) {
      state.rerankAll();
    }
  }

  /**
   * Looks for silence and ramps that are over; ends what may not be sent again, or has no time
   * left.
   */
  private void detectFaults() {
    overdueCalls.recordRound();
    final long now = state.nowUs;
    for (RouteTimer due = state.routeTimers.poll(now);
        due != null;
        due = state.routeTimers.poll(now)) {
      state.markChanged(due.route.destination);
    }
    keyOrdering.releaseSettled();
    state.changedDestinations.sort(Destination.ORDER);
    for (final Destination destination : state.changedDestinations) {
      destination.changed = false;
      for (final Route lane :
          destination.openMessages == 0 ? List.<Route>of() : destination.routes) {
        outlierDetector.checkCircuit(lane);
      }
    }
    state.changedDestinations.clear();
    endExpiredMessages();
  }

  /** Ends what waits and has no time left, in the order of destinations and places. */
  private void endExpiredMessages() {
    final List<PendingMessage> over = new ArrayList<>();
    for (MessageDeadline due = deadlines.poll(state.nowUs);
        due != null;
        due = deadlines.poll(state.nowUs)) {
      over.add(due.message);
    }
    over.sort(
        Comparator.comparing((PendingMessage job) -> job.destination, Destination.ORDER)
            .thenComparingLong(job -> job.queuePosition));
    for (final PendingMessage job : over) {
      // Given up: come again when the line that stands there now has gone, and no sooner.
      job.destination.catchUpIdleSteps(state.stepCount);
      endUndelivered(job, Math.max(RecoveryPacer.MIN_BACKOFF_US, job.destination.queueDrainUs()));
    }
  }

  /** Sends, best first, until no slot is free or no message may go. */
  private void dispatch() {
    state.nextRoundUs = NEVER;
    while (state.callsInFlight < state.concurrencyLimit) {
      final Ranking<ReadyRoute> ready = state.readyRoutes();
      final ReadyRoute best = ready.best(state.nowUs);
      if (best == null) {
        return;
      }
      if (retryPolicy.fitsBeforeStop(best.route, best.selected.group)) {
        startCall(best.selected, best.route);
      } else {
        ready.invalidate(best);
      }
    }
  }

  /** Sends a message and, where calls are shared, those that wait with it. */
  private void startCall(final PendingMessage first, final Route lane) {
    final EndpointHealth node = endpointSelector.select(lane, first.group, first.rejectedBy);
    state.markChanged(lane.destination);
    final InFlightCall call = new InFlightCall();
    call.probe = lane.tryTakeProbe(state.nowUs);
    call.endpoint = node;
    call.sentUs = state.nowUs;
    state.callsInFlight++;
    lane.stepPeakCalls = Math.max(lane.stepPeakCalls, ++lane.callsInFlight);
    if (node.callsInFlight++ == 0) {
      idleConnections.closeIfUntrusted(call, node, first);
    }
    final int streams = state.settings.limits().streamsPerConnection();
    call.reusedConnection = node.connections * streams >= node.callsInFlight;
    node.connections = Math.max(node.connections, (node.callsInFlight + streams - 1) / streams);
    node.lastSendUs = lane.lastSendUs = state.nowUs;
    if (lane.circuitState == CircuitState.OUT) {
      lane.nextTrialUs = state.recoveryPacer.nextTrialUs(lane, state.nowUs, state.classifiesFaults);
    }
    PendingMessage job = first;
    final boolean alone =
        lane.circuitState == CircuitState.OUT
            || first.messageClass.idempotence() == Idempotence.NON_IDEMPOTENT;
    while (job != null) {
      call.pendingOutcomes++;
      call.expectedUs = Math.max(call.expectedUs, (long) retryPolicy.expectedUs(lane, job));
      job.call = call;
      call.pendingMessages.add(job);
      job.attempts++;
      dequeue(job);
      state.actions.send(
          job.message.id(),
          node.descriptor.id(),
          retryPolicy.timeoutUs(lane, node.classStatistics[job.message.classIndex()], job));
      final boolean full = alone || call.pendingOutcomes >= lane.destinationKind.messagesPerCall();
      job = full ? null : messageScheduler.selectMessage(job.destination, lane, node);
    }
    call.batchSize = call.pendingOutcomes;
    call.pendingMessages.sort(Comparator.comparingLong(sent -> sent.sequence));
    overdueCalls.track(call);
    lane.lastCallWeight = 1 + BATCHED_MESSAGE_WEIGHT * (call.batchSize - 1);
    lane.rateShare.recordCall(state.nowUs);
  }

  /**
   * Refuses what has least to gain before the store is full: nothing is turned away at the door.
   */
  private void shedExcessMessages() {
    final int reserve = (int) Math.max(1, STORE_RESERVE * state.maxPendingMessages);
    while (state.pendingMessages > state.maxPendingMessages - reserve) {
      final Destination destination = state.shedCandidates().best(state.nowUs);
      if (destination == null) {
        return;
      }
      endUndelivered(destination.leastValuable, SECOND_US);
    }
  }

  /**
   * Asks to be woken when something can change by time alone: a guard, a deadline, a silence, a
   * step.
   */
  private void scheduleNextRound() {
    long next = Math.min(nextStepUs, endpointRegistry.nextSubscribeUs());
    next = Math.min(next, Math.min(deadlines.earliestDueUs(), overdueCalls.nextOverdueUs()));
    next = Math.min(next, Math.min(state.routeTimers.earliestDueUs(), keyOrdering.nextSettledUs()));
    // A call that was called off may be slow to end; a message may have got its turn after the last
    // look.
    next = Math.min(next, state.nextRoundUs);
    scheduledWakeUps.headSet(state.nowUs + 1).clear();
    if (scheduledWakeUps.isEmpty() || scheduledWakeUps.first() > next) {
      scheduledWakeUps.add(Math.max(state.nowUs + 1, next));
      state.actions.scheduleDecision(scheduledWakeUps.first() - state.nowUs);
    }
  }

  // ---------------------------------------------------------------- a message's way

  /** A message waits from now on; one that may not be sent again ends in the next pass. */
  private void enqueue(final PendingMessage job) {
    state.markChanged(job.destination);
    job.waiting = true;
    job.queuePosition = nextQueuePosition++;
    job.destination.waitingMessages++;
    deadlines.schedule(job.deadline, retryPolicy.mayAttempt(job) ? retryPolicy.expiryUs(job) : 0);
    job.destination.enqueue(job, !keyOrdering.mayProceed(job));
    keyOrdering.refreshHead(job.keyQueue);
  }

  /** A message waits no longer, if it did. */
  private void dequeue(final PendingMessage job) {
    if (job.waiting) {
      state.markChanged(job.destination);
      job.waiting = false;
      job.destination.waitingMessages--;
      deadlines.remove(job.deadline);
      job.destination.dequeue(job);
    }
  }

  /** Gives the final answer: a refusal where that is harmless, or a failure. */
  private void endUndelivered(final PendingMessage job, final long retryAfterUs) {
    if (job.mayShed()) {
      state.actions.shed(
          job.message.id(), Math.min(retryAfterUs, state.settings.limits().maxRetryAfterUs()));
    } else {
      state.actions.fail(job.message.id());
    }
    complete(job);
  }

  private void complete(final PendingMessage job) {
    state.pendingMessages -= job.ended ? 0 : 1;
    job.ended = true;
    dequeue(job);
    if (job.call == null) {
      keyOrdering.remove(job);
      messages.remove(job.message.id());
      if (--job.destination.openMessages == 0) {
        endpointRegistry.markVacant(job.destination);
      }
    }
  }

  // ---------------------------------------------------------------- what others see

  /** Listed endpoints to which nothing goes now for trouble with them, or only single trials. */
  public List<Long> avoidedEndpoints() {
    return state.endpoints.values().stream()
        .filter(node -> node.isAvoided(state.nowUs))
        .map(EndpointHealth::id)
        .toList();
  }

  /**
   * Changes when a lane goes out or begins to return: what is remembered is then worth putting
   * down.
   */
  public long circuitTransitions() {
    return state.circuitTransitions;
  }

  /** Calls in flight. */
  public int callsInFlight() {
    return state.callsInFlight;
  }

  /** True if a message could go now that no slot is left for. */
  public boolean needsMoreCapacity() {
    return state.callsInFlight >= state.concurrencyLimit && state.readyRoutes().size() > 0;
  }

  /**
   * How each destination (or route) is, and why nothing goes there now; of vacant ones, nothing.
   */
  public List<RouteStatus> routes() {
    return state.destinations.values().stream()
        .flatMap(destination -> destination.routes.stream())
        .map(
            lane ->
                RouteStatus.of(
                    lane,
                    state.nowUs,
                    sendPermission.sendAllowedAtUs(lane),
                    concurrencyWindow.limit(lane)))
        .toList();
  }

  /** How many destinations are kept in mind. */
  int destinationCount() {
    return state.destinations.size();
  }
}
