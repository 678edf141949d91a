package thistleturn.courier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.LearnedStateSource;
import thistleturn.courier.handover.RemoteCallExecutor;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.operator.CourierMetrics;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.port.MessageStore.FlushResult;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StateObserver;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.shard.CapacityExchange;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.MessageClass;

/**
 * The decision loop of a shard, which handles all its messages. The ports report events to it; once
 * the events of an iteration of the event loop have been handled, a decision round lets the
 * controller decide and carries out its decisions. The journal is flushed before any durable
 * effect.
 *
 * <p>How an event is handled depends on the {@link LoopRole}: this process decides, or it forwards
 * to a newer one. Everything runs on the event loop's thread.
 */
final class DecisionLoop
    implements IngressHandler, OutcomeNotifier.Listener, CapacityExchange.Participant {
  private final CourierConfig config;
  private final EventLoop loop;
  private final EarlierProcesses earlierProcesses;
  private final LoopContext context;
  private final LoopPorts ports;
  private final RoundScheduler scheduler;
  private final DurableEffects effects;
  private final PredecessorCalls predecessorCalls = new PredecessorCalls();
  private final HandedOverCalls handedOverCalls = new HandedOverCalls();
  private final DispatcherEvents dispatcherEvents;
  private final CallDispatcher calls;
  private final ReachabilityTracker reachability;
  private final OverloadController controller;
  private final MessageIntake intake;
  private final OutageReporter outages;
  private final DecidingRole deciding;
  private final PendingMessageRecovery recovery;
  private final PredecessorEvents predecessorEvents;
  private LoopRole role;

  /** Whether the concurrency limit has delayed calls since the last {@link #capacityUsage}. */
  private boolean callLimitReached;

  /** Creates the ports of a loop, and reports when input has been read. */
  interface Ports {
    Dispatcher dispatcher(Dispatcher.Listener listener);

    OutcomeNotifier outcomeNotifier(OutcomeNotifier.Listener listener);

    EndpointDirectory endpointDirectory();

    /** Returns the earlier processes whose calls the message store may record as in flight. */
    EarlierProcesses earlierProcesses();

    /**
     * Runs an action after a poll that started after this time, us, so that older input comes
     * first.
     */
    void afterPoll(long sinceUs, Runnable action);
  }

  DecisionLoop(
      final CourierConfig config,
      final EventLoop loop,
      final Clock clock,
      final MessageStore store,
      final Ports connector) {
    this.config = config;
    this.loop = loop;
    this.earlierProcesses = connector.earlierProcesses();
    this.context =
        LoopContext.create(
            config.settings(), loop, clock, store, pausedUs -> role.onProcessPaused(pausedUs));
    this.scheduler = new RoundScheduler(loop, clock, connector, new Rounds());
    this.dispatcherEvents = new DispatcherEvents(() -> role, context.counters());
    this.ports =
        new LoopPorts(
            connector.dispatcher(dispatcherEvents),
            connector.endpointDirectory(),
            connector.outcomeNotifier(this));
    this.effects =
        new DurableEffects(
            new EffectExecutor(clock, loop, ports.dispatcher(), this::rejectUnjournaled),
            ports.notifier());
    this.calls =
        new CallDispatcher(context, loop, connector, ports.dispatcher(), effects, predecessorCalls);
    final MessageCompletion completion =
        new MessageCompletion(context, effects, this::blockedReason);
    this.controller =
        new OverloadController(
            config.settings(),
            config.seed(),
            new ControllerActions(context.pending(), completion, calls, ports, scheduler));
    this.reachability =
        new ReachabilityTracker(
            context.health(),
            (nowUs, cutOffSinceUs) -> role.onConnectivityRestored(nowUs, cutOffSinceUs));
    this.outages =
        new OutageReporter(
            clock, context.health(), controller::circuitTransitions, controller::routes);
    this.intake = createIntake(completion);
    this.deciding = createDecidingRole(completion);
    this.recovery = createRecovery(completion);
    this.predecessorEvents = createPredecessorEvents();
    this.role = deciding;
  }

  private String blockedReason(final long destination) {
    return controller.blockedReason(destination);
  }

  private PredecessorEvents createPredecessorEvents() {
    return new PredecessorEvents(
        context,
        ports.dispatcher(),
        predecessorCalls,
        () -> interruptedAttempts(earlierProcesses),
        dispatcherEvents,
        this);
  }

  private MessageIntake createIntake(final MessageCompletion completion) {
    return new MessageIntake(
        context,
        ports.directory(),
        effects,
        completion,
        controller,
        scheduler,
        config.settings().limits().maxPendingMessages());
  }

  private DecidingRole createDecidingRole(final MessageCompletion completion) {
    final OutcomeRecorder outcomes =
        new OutcomeRecorder(
            context,
            completion,
            new UnconfirmedEnds(context, loop, scheduler, ports.dispatcher()::areResponsesSuspect),
            reachability,
            outages,
            controller,
            scheduler);
    return new DecidingRole(
        context, ports, effects, scheduler, controller, intake, outcomes, outages);
  }

  private PendingMessageRecovery createRecovery(final MessageCompletion completion) {
    return new PendingMessageRecovery(
        context,
        ports.notifier(),
        completion,
        predecessorCalls,
        controller,
        delivery -> role.onInterruptionEnded(delivery));
  }

  /**
   * Starts the endpoint directory and recovers the messages that an earlier process left in the
   * journal.
   *
   * @return how many messages were resumed
   */
  int start() {
    ports.directory().start(this::onEndpointUpdate);
    return recoverMessages(earlierProcesses);
  }

  /**
   * Does the same after a takeover from an older process, which completes the calls in the
   * snapshot.
   */
  int start(final HandoverSnapshot snapshot, final RemoteCallExecutor predecessor) {
    return start(snapshot, predecessor, earlierProcesses.withoutPredecessor());
  }

  /**
   * Does the same after a newer process has ended; this process completes the calls in the
   * snapshot.
   */
  int startAgain(final HandoverSnapshot snapshot, final RemoteCallExecutor replaced) {
    return start(snapshot, replaced, earlierProcesses);
  }

  private int start(
      final HandoverSnapshot snapshot,
      final RemoteCallExecutor predecessor,
      final EarlierProcesses earlier) {
    predecessorCalls.connect(predecessor);
    ports.directory().start(this::onEndpointUpdate);
    onEndpointUpdate(
        EndpointUpdate.RESTORED_SNAPSHOT,
        snapshot.endpoints().stream().map(HandoverSnapshot.NumberedEndpoint::entry).toList());
    recovery.adoptCalls(snapshot.calls(), deciding.restoreLearnedState(snapshot));
    predecessor.setListener(predecessorEvents);
    return recoverMessages(earlier);
  }

  private int recoverMessages(final EarlierProcesses earlier) {
    final int resumed = recovery.recoverMessages(interruptedAttempts(earlier));
    scheduler.requestRound();
    return resumed;
  }

  /** Restores the learned state of an earlier process as soon as endpoints are listed. */
  void restoreWhenListed(final LearnedStateSource source) {
    deciding.restoreWhenListed(source);
  }

  /** Continues the counters of another loop of this process. */
  void continueCountersOf(final DecisionLoop previous) {
    context.counters().continueFrom(previous.context.counters());
  }

  /** A decision round: decide, prepare the calls, flush the journal, run the durable effects. */
  private final class Rounds implements RoundScheduler.Target {
    @Override
    public boolean isDeciding() {
      return role.isDeciding();
    }

    @Override
    public void runRound() {
      // One timestamp for the whole round: the next round detects a pause during this one before
      // it evaluates anything.
      final long nowUs = context.stallDetector().recordActivity();
      context.stallDetector().setBusy(!context.pending().isEmpty());
      try {
        decide(nowUs);
      } catch (final RuntimeException | Error e) {
        Log.failure("decision round failed", e);
      }
      calls.prepareCalls();
      effects.runAfterFlush(context.store().flush(), context.clock().nowUs());
      retryUnwritableJournal();
    }

    @Override
    public void endOverdueMessages() {
      reportDecisionsDelayed(context.clock().nowUs());
      effects.runRejectionsAndOutcomes(context.store().flush(), context.clock().nowUs());
      retryUnwritableJournal();
    }

    private void retryUnwritableJournal() {
      if (!context.store().isWritable()) {
        scheduler.requestJournalRetry();
      }
    }
  }

  /** Lets the controller decide; while the journal cannot be written, only expired messages end. */
  private void decide(final long nowUs) {
    if (!context.store().isWritable() && context.store().flush() != FlushResult.DURABLE) {
      reportDecisionsDelayed(nowUs);
      return;
    }
    controller.decide(nowUs);
    callLimitReached |= controller.needsMoreCapacity();
    outages.reportChanges();
  }

  private void reportDecisionsDelayed(final long nowUs) {
    controller.onDecisionsDelayed(nowUs);
  }

  @Override
  public MessageClass messageClass(final String className) {
    return context.classes().get(className);
  }

  @Override
  public boolean isAnsweredOnThisLoop(final long destination) {
    return !role.hasSuccessor();
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    role.submit(message, deadlineUs, reply);
  }

  @Override
  public void withdraw(final Submission submission) {
    role.withdraw(submission);
  }

  private InterruptedAttempts interruptedAttempts(final EarlierProcesses processes) {
    return new InterruptedAttempts(context.clock(), loop, processes);
  }

  private void rejectUnjournaled(final PendingDelivery delivery) {
    intake.rejectUnjournaled(delivery);
  }

  private void onEndpointUpdate(
      final EndpointUpdate update, final List<EndpointDirectory.Entry> entries) {
    final long nowUs = context.stallDetector().recordActivity();
    if (update == EndpointUpdate.UNAVAILABLE) {
      reachability.recordPlatformFailure(nowUs);
    } else if (update != EndpointUpdate.RESTORED_SNAPSHOT) {
      reachability.recordResponse(nowUs);
    }
    role.onEndpointUpdate(update, context.endpoints().apply(update, entries, ports.dispatcher()));
  }

  /**
   * Resolves the deliveries whose responses may belong to other calls, before this process ends or
   * hands over: what it has not learned by then, it will not learn.
   *
   * @return true if the journal records that
   */
  boolean resolveUnconfirmedAnswers() {
    ports.dispatcher().resolveUnconfirmedAnswers();
    return context.store().flush() == FlushResult.DURABLE;
  }

  @Override
  public void onConfirmed(final List<StoredMessage> messages) {
    role.onConfirmed(messages);
  }

  /** Returns the handler for events that an older process reports to this loop. */
  PredecessorEvents predecessorEvents() {
    return predecessorEvents;
  }

  /**
   * Hands over to a newer process: the events of this iteration are still decided and answered
   * here, and from then on this process forwards.
   *
   * @throws IOException if the journal cannot be brought up to date; then nothing has changed
   */
  HandoverSnapshot handOver(final Successor successor) throws IOException {
    ports.dispatcher().resolveUnconfirmedAnswers();
    scheduler.runScheduledRound();
    final FlushResult flushed = context.store().flush();
    effects.runAfterFlush(flushed, context.clock().nowUs());
    if (flushed != FlushResult.DURABLE) {
      throw new IOException("the journal cannot be written");
    }
    forwardTo(successor);
    context.pending().removeNotInFlight();
    return handoverSnapshot();
  }

  /** Hands over again after the newer process has ended; calls in flight continue here. */
  HandoverSnapshot handOverAgain(final Successor successor) {
    forwardTo(successor);
    return handoverSnapshot();
  }

  private void forwardTo(final Successor successor) {
    role =
        role.handedOverTo(
            new ForwardingRole(
                context, successor, handedOverCalls, ports.dispatcher()::areResponsesSuspect));
  }

  private HandoverSnapshot handoverSnapshot() {
    return deciding.snapshot(handedOverCalls.register(context.pending()));
  }

  /** Abandons a call that was in flight when the newer process took over. */
  void abandonHandedOverCall(final long number, final AttemptResult result) {
    final Dispatcher.Call call = handedOverCalls.get(number);
    if (call != null && context.pending().isInFlight(call)) {
      calls.abandon(call, result);
    }
  }

  /** Returns true once a newer process decides. */
  boolean hasSuccessor() {
    return role.hasSuccessor();
  }

  /** Returns true if an endpoint of that name was ever listed here. */
  boolean isKnownEndpoint(final String name) {
    return context.endpoints().isKnown(name);
  }

  /** Disables exactly these endpoints from now on, regardless of the endpoint list. */
  void setDisabledEndpoints(final Set<String> names) {
    role.setDisabledEndpoints(names);
  }

  /** Reports changes of destinations to this observer from now on. */
  void setObserver(final StateObserver observer) {
    outages.setObserver(observer);
  }

  /** Applies a subsystem's directive to a destination. */
  void applyDirective(final long destination, final Directive directive) {
    role.applyDirective(destination, directive);
  }

  /** Returns this process's counters and gauges. */
  CourierMetrics metrics() {
    final EndpointTable endpoints = context.endpoints();
    final long excluded = endpoints.countExcluded(controller.avoidedEndpoints());
    return context.counters().metrics(role.ownedMessages(), endpoints.size(), excluded);
  }

  /** Returns the status of each route as JSON for operators. */
  ArrayNode routeStatus() {
    return StatusJson.routes(controller.routes(), context.endpoints(), context.clock().nowUs());
  }

  /** Returns the health of this courier as JSON for operators. */
  ObjectNode healthStatus() {
    return StatusJson.health(
        context.health(), context.pending().size(), intake.currentLimit(), context.clock().nowUs());
  }

  /** Returns the learned state, or null if there is nothing to store. */
  HandoverSnapshot learnedState() {
    return role.learnedState();
  }

  /** Returns a number that changes whenever the learned state should be stored again. */
  long learnedStateVersion() {
    return controller.circuitTransitions();
  }

  @Override
  public CapacityExchange.CapacityUsage capacityUsage() {
    final CapacityExchange.CapacityUsage usage =
        new CapacityExchange.CapacityUsage(
            controller.callsInFlight(),
            callLimitReached,
            context.pending().size(),
            intake.takeLimitReached());
    callLimitReached = controller.needsMoreCapacity();
    return usage;
  }

  @Override
  public void applyCapacityLimits(final int concurrencyLimit, final int maxPendingMessages) {
    intake.setMaxPendingMessages(maxPendingMessages);
    controller.onCapacityChanged(context.clock().nowUs(), concurrencyLimit, maxPendingMessages);
    scheduler.requestRound();
  }

  /** Moves to the platform address of a new configuration; other changes apply after a restart. */
  void reload(final CourierConfig fresh) {
    final boolean same =
        fresh.settings().equals(config.settings())
            && fresh.listenAddress().equals(config.listenAddress());
    Log.info(
        "SIGHUP: discovery is at "
            + fresh.discoveryAddress()
            + (same ? "" : "; other changes of the configuration apply after a restart"));
    ports.directory().reload(fresh);
    ports.notifier().reload(fresh);
    role.onConfigurationReloaded();
  }

  /** The process ends at this time, in microseconds: no call starts that cannot end by then. */
  void prepareToStop(final long stopUs) {
    role.prepareToStop(stopUs);
  }

  /** Simulates a power failure: outcomes reported from now on have no effect. */
  void halt() {
    role = new HaltedRole(role);
  }

  /** Returns true if the end of the process would interrupt nothing. */
  boolean isIdle() {
    return role.isIdle();
  }
}
