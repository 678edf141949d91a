package thistleturn.courier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.LearnedStateSource;
import thistleturn.courier.handover.RemoteCallExecutor;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.health.StallDetector;
import thistleturn.courier.operator.CourierMetrics;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.port.MessageTimeline;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StateObserver;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.shard.CapacityExchange;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.RouteStatus;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;

/**
 * The one that calls {@link OverloadController}: it tells it what the sockets brought in a pass of
 * the event loop, lets it decide once, and carries out what it asked for. It holds the open
 * messages, and keeps the journal ahead of every byte that promises something. All of it runs on
 * the event loop's thread.
 */
final class DecisionLoop
    implements DeliveryActions,
        IngressHandler,
        Dispatcher.Listener,
        OutcomeNotifier.Listener,
        CapacityExchange.Participant,
        HandoverClient.Listener {
  private static final long US_PER_MS = 1000;
  private static final double US_PER_S = 1_000_000;

  /**
   * An end that the platform confirms so late after its message's time is worth a line: the limit
   * is 300 ms.
   */
  private static final long LATE_OUTCOME_US = 100_000;

  /** A store so full is pressed. */
  private static final double NEAR_LIMIT_SHARE = 0.9;

  /**
   * When the journal is tried again that could not be written, ms: a client waits 400 ms for its
   * answer.
   */
  private static final long JOURNAL_RETRY_MS = 20;

  /**
   * A wake-up so late, us, comes from a process that did not run: first it looks at what has come
   * meanwhile.
   */
  private static final long LATE_TIMER_US = 10_000;

  /**
   * When the store is full: a message's time in it is some seconds, so that one place is free soon.
   */
  private static final long STORE_FULL_RETRY_AFTER_US = 1_000_000;

  /** One message's part in a call. */
  private record DeliveryAttempt(PendingDelivery delivery, long timeoutUs, long latestSendUs)
      implements Dispatcher.Attempt {
    @Override
    public StoredMessage message() {
      return delivery.message;
    }

    @Override
    public long messageDeadlineUs() {
      return delivery.deadlineUs;
    }
  }

  /** A call that an older process of this courier has out. */
  private record RemoteCall(long number, long endpoint, long preparedUs)
      implements Dispatcher.Call {}

  /** What is said of an endpoint that an operator has left out. */
  private static final Directive DISABLED_BY_OPERATOR =
      Directive.of(Directive.Kind.EXCLUSION, "operator", Long.MAX_VALUE);

  /**
   * Endpoints of which what was learnt is put down: more would hold up the loop for over some
   * milliseconds a second.
   */
  private static final int MAX_REMEMBERED_ENDPOINTS = 2000;

  private final CourierConfig config;
  private final EventLoop loop;
  private final Clock clock;
  private final MessageStore store;
  private final OverloadController control;
  private final Dispatcher dispatcher;
  private final EndpointDirectory directory;
  private final OutcomeNotifier outcomeNotifier;
  private final EndpointTable endpointTable;
  private final Ports ports;
  private final LocalHealth health;
  private final StallDetector pulse;
  private final Map<String, PendingDelivery> messages = new LinkedHashMap<>();
  private final Map<String, Integer> classIndexes = new HashMap<>();
  private final Map<Long, List<DeliveryAttempt>> attemptsByEndpoint = new LinkedHashMap<>();
  private final DurableEffects effects;
  private boolean roundScheduled;

  /** The journal could not be written, and is tried again soon. */
  private boolean journalRetryScheduled;

  /**
   * How many messages it may hold now, and whether that, or its slots, have held it back of late.
   */
  private int maxOpen;

  private boolean messageLimitReached;
  private boolean callLimitReached;

  /** What this process has done, by class where that says anything. */
  private final long[] served;

  private final long[] rejected;
  private final long[] failed;
  private long messagesWritten;

  /** The newer process that decides now; null while this one does. */
  private Successor successor;

  /** Nothing is decided or put down any more: what breaks from now on breaks with the process. */
  private boolean halted;

  /** Calls that were out when it took over, by their numbers. */
  private final Map<Long, Dispatcher.Call> handedOverCalls = new HashMap<>();

  private final IdentityHashMap<Dispatcher.Call, Long> handedOverNumbers = new IdentityHashMap<>();

  /**
   * The older process that this one took over from, or null; what it has out, by the messages' ids.
   */
  private RemoteCallExecutor predecessor;

  private final Map<String, DeliveryAttempt> predecessorAttempts = new HashMap<>();

  /** What an earlier process had learnt, until it is taken up; else null. */
  private LearnedStateSource pendingLearnedState;

  /**
   * Who hears what is told and found out here; null: nobody. Which destinations it was last known
   * to be out.
   */
  private StateObserver observer;

  private final Set<Long> destinationsOut = new HashSet<>();
  private long observedVersion;

  /** The ports that a host is wired to; those that tell the host something are made for it. */
  interface Ports {
    Dispatcher dispatcher(Dispatcher.Listener listener);

    OutcomeNotifier outcomeNotifier(OutcomeNotifier.Listener listener);

    EndpointDirectory endpointDirectory();

    /**
     * Does something after a look at the sockets that began after that moment, us: what had come by
     * then is told first.
     */
    void afterPoll(long us, Runnable action);
  }

  DecisionLoop(
      final CourierConfig config,
      final EventLoop loop,
      final Clock clock,
      final MessageStore store,
      final Ports wiring) {
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.ports = wiring;
    this.health = new LocalHealth(clock.nowUs());
    this.pulse = new StallDetector(loop, clock, health, this::onProcessPaused);
    this.control = new OverloadController(config.settings(), config.seed(), this);
    this.maxOpen = config.settings().limits().maxPendingMessages();
    this.dispatcher = wiring.dispatcher(this);
    this.directory = wiring.endpointDirectory();
    this.outcomeNotifier = wiring.outcomeNotifier(this);
    this.effects = new DurableEffects(new EffectExecutor(), outcomeNotifier);
    this.endpointTable = new EndpointTable(config.settings().kinds(), clock::nowUs);
    config.settings().classes().forEach(kind -> classIndexes.put(kind.name(), classIndexes.size()));
    this.served = new long[classIndexes.size()];
    this.rejected = new long[classIndexes.size()];
    this.failed = new long[classIndexes.size()];
  }

  /**
   * Takes up what an earlier process held, and begins to follow the list. Runs on the event loop.
   *
   * @return how many messages wait again
   */
  int start() {
    directory.start(this::onEndpointUpdate);
    return recoverPendingMessages();
  }

  /** The same, after an older process that goes on carrying out what it has begun. */
  int start(final HandoverSnapshot inheritance, final RemoteCallExecutor from) {
    predecessor = from;
    directory.start(this::onEndpointUpdate);
    onEndpointUpdate(
        EndpointUpdate.RESTORED_SNAPSHOT,
        inheritance.endpoints().stream().map(HandoverSnapshot.NumberedEndpoint::entry).toList());
    final Map<Long, Long> numbers = restoreLearnedState(inheritance);
    final Map<String, StoredMessage> held = new HashMap<>();
    store.pendingMessages().forEach(one -> held.put(one.id(), one));
    final List<Endpoint> unlisted = new ArrayList<>();
    for (final HandoverSnapshot.InFlightRemoteCall out : inheritance.calls()) {
      final long endpoint =
          numbers.computeIfAbsent(
              out.endpoint(),
              gone -> {
                // Gone from the list, but not from the world: a call to it is still out.
                final long number = endpointTable.allocateUnlistedId();
                final Endpoint entry =
                    new Endpoint(number, EndpointState.DRAINING, "", 0, -1, out.destination());
                unlisted.add(entry);
                control.onEndpointList(clock.nowUs(), EndpointUpdate.SUPPLEMENT, List.of(entry));
                return number;
              });
      adoptInFlightCall(out, new RemoteCall(out.number(), endpoint, out.sentUs()), held);
    }
    control.onEndpointList(
        clock.nowUs(),
        EndpointUpdate.SUPPLEMENT,
        unlisted.stream()
            .map(
                entry ->
                    new Endpoint(entry.id(), EndpointState.GONE, "", 0, -1, entry.destinationId()))
            .toList());
    from.setListener(this);
    return recoverPendingMessages();
  }

  private void adoptInFlightCall(
      final HandoverSnapshot.InFlightRemoteCall out,
      final RemoteCall call,
      final Map<String, StoredMessage> live) {
    boolean sameCall = false;
    for (final String id : out.messageIds()) {
      final StoredMessage held = live.get(id);
      final Integer index = held == null ? null : classIndexes.get(held.className());
      if (index == null || held.finalOutcome() != null || !held.hasAttemptInFlight()) {
        continue;
      }
      final PendingDelivery open =
          new PendingDelivery(
              held, config.settings().classes().get(index), held.deadlineUs(), null);
      open.call = call;
      messages.put(id, open);
      predecessorAttempts.put(id, new DeliveryAttempt(open, 0, 0));
      final boolean ran = held.firstRunUs() != StoredMessage.NEVER;
      control.onCallAdopted(
          clock.nowUs(),
          controllerMessage(open, index),
          new PriorAttempts(held.attempts(), ran, ran ? held.firstRunUs() : 0, held.runZone()),
          call.endpoint(),
          call.preparedUs(),
          sameCall);
      sameCall = true;
    }
  }

  /**
   * Takes up what an earlier process had learnt of endpoints that are here what they were there:
   * another one under the same name has nothing to do with it.
   *
   * @return their numbers there, and here
   */
  private Map<Long, Long> restoreLearnedState(final LearnedStateSource from) {
    final Map<String, EndpointDirectory.Entry> now = new HashMap<>();
    endpointTable.snapshot().forEach(named -> now.put(named.entry().name(), named.entry()));
    final Map<Long, Long> numbers = new HashMap<>();
    for (final HandoverSnapshot.NumberedEndpoint named : from.endpoints()) {
      final EndpointDirectory.Entry listing = now.get(named.entry().name());
      if (listing != null
          && listing.address().equals(named.entry().address())
          && listing.destination() == named.entry().destination()) {
        numbers.put(named.number(), endpointTable.idOf(listing.name()));
      }
    }
    control.onLearnedState(clock.nowUs(), from.learnedState(numbers, clock));
    return numbers;
  }

  private int recoverPendingMessages() {
    int resumed = 0;
    for (final StoredMessage held : store.pendingMessages()) {
      if (messages.containsKey(held.id())) {
        continue;
      }
      final Integer index = classIndexes.get(held.className());
      if (held.finalOutcome() != null) {
        outcomeNotifier.enqueue(held);
      } else if (index == null) {
        finish(new PendingDelivery(held, null, 0, null), new StoredMessage.FinalOutcome(true, 0));
      } else {
        resumeMessage(held, index);
        resumed++;
      }
    }
    scheduleRound();
    return resumed;
  }

  private void resumeMessage(final StoredMessage held, final int index) {
    final PendingDelivery open =
        new PendingDelivery(held, config.settings().classes().get(index), held.deadlineUs(), null);
    final PriorAttempts past = held.priorAttempts();
    if (held.hasAttemptInFlight()) {
      store.recordAttemptOutcome(held, false);
    }
    messages.put(held.id(), open);
    control.onMessageResumed(clock.nowUs(), controllerMessage(open, index), past);
  }

  private static Message controllerMessage(final PendingDelivery open, final int index) {
    return new Message(
        open.message.id(), index, -1, null, open.deadlineUs, open.message.destination());
  }

  // ---------------------------------------------------------------- its own health

  /** The process did not run for so long: what is out has that much more time. */
  private void onProcessPaused(final long awayUs) {
    if (isDeciding()) {
      control.onHostPaused(clock.nowUs(), awayUs);
    }
  }

  /**
   * Somebody answered: if this courier was cut off until now, whoever was sent out for that is
   * back.
   */
  private void onReachable(final long nowUs) {
    if (health.isCutOff() && isDeciding()) {
      final long sinceUs = health.cutOffSinceUs();
      Log.info(
          "this courier had no way out for "
              + (nowUs - sinceUs) / US_PER_MS
              + " ms: nobody's outage");
      control.onConnectivityRestored(nowUs, sinceUs);
    }
    health.recordResponse(nowUs);
  }

  /** How this courier itself is, and why that is said; as JSON for operators. */
  ObjectNode healthStatus() {
    final LocalHealth.Report report = health.report(clock.nowUs());
    return JsonNodeFactory.instance
        .objectNode()
        .put("state", report.state().name().toLowerCase(Locale.ROOT))
        .put("for_s", (clock.nowUs() - report.sinceUs()) / US_PER_S)
        .put("evidence", report.evidence())
        .put("away_share", report.pausedShare())
        .put("last_away_s", report.lastPauseUs() / US_PER_S)
        .put("holds", messages.size())
        .put("may_hold", health.maxPendingMessages(maxOpen))
        .put("ended", health.completedMessages());
  }

  // ---------------------------------------------------------------- what the sockets bring

  @Override
  public MessageClass messageClass(final String className) {
    final Integer index = classIndexes.get(className);
    return index == null ? null : config.settings().classes().get(index);
  }

  @Override
  public boolean isAnsweredOnThisLoop(final long destination) {
    return successor == null;
  }

  @Override
  public void submit(final StoredMessage held, final long validUntilUs, final Ingress.Reply reply) {
    if (successor != null) {
      successor.submit(held, held.deadlineUs(), reply);
      return;
    }
    pulse.recordActivity();
    if (!endpointTable.isKnownDestination(held.destination()) && directory.isCurrent()) {
      reply.invalid(Ingress.InvalidReason.NO_DESTINATION);
      return;
    }
    if (messages.containsKey(held.id()) || store.contains(held.id())) {
      reply.invalid(Ingress.InvalidReason.HELD_ALREADY);
      return;
    }
    messageLimitReached |= messages.size() >= NEAR_LIMIT_SHARE * maxOpen;
    if (messages.size() >= health.maxPendingMessages(maxOpen) || !store.recordAccepted(held)) {
      rejected[classIndexes.get(held.className())]++;
      Log.event(
          Event.REQUEST_REFUSED,
          "id",
          held.id(),
          "class",
          held.className(),
          "why",
          store.isWritable() ? "no_room" : "journal_unwritable",
          "holds",
          messages.size());
      reply.rejected(Ingress.RejectionReason.NO_ROOM, STORE_FULL_RETRY_AFTER_US);
      return;
    }
    final int index = classIndexes.get(held.className());
    final PendingDelivery open =
        new PendingDelivery(held, config.settings().classes().get(index), validUntilUs, reply);
    messages.put(held.id(), open);
    effects.addAcceptance(open, clock.nowUs());
    held.timeline().markAccepted(clock.nowUs());
    control.onMessage(clock.nowUs(), controllerMessage(open, index));
    scheduleRound();
  }

  @Override
  public void withdraw(final String id, final long destination) {
    if (successor != null) {
      successor.withdraw(id, destination);
      return;
    }
    final PendingDelivery open = messages.get(id);
    if (open != null) {
      complete(open);
      control.onMessageAbandoned(clock.nowUs(), id);
      scheduleRound();
    }
  }

  /** The list has changed, or could not be had. */
  private void onEndpointUpdate(
      final EndpointUpdate update, final List<EndpointDirectory.Entry> listings) {
    final long nowUs = pulse.recordActivity();
    if (update == EndpointUpdate.UNAVAILABLE) {
      health.recordPlatformFailure(nowUs);
    } else if (update != EndpointUpdate.RESTORED_SNAPSHOT) {
      onReachable(nowUs);
    }
    final EndpointTable.AppliedUpdate applied = endpointTable.apply(update, listings, dispatcher);
    if (successor != null) {
      // It is kept up to date all the same: should the newer process end, this one takes up again.
      applied.removed().forEach(endpointTable::remove);
      return;
    }
    control.onEndpointList(clock.nowUs(), update, applied.changed());
    applied.changed().stream()
        .map(Endpoint::id)
        .filter(endpointTable::isDisabled)
        .forEach(
            endpoint -> control.onEndpointDirective(clock.nowUs(), endpoint, DISABLED_BY_OPERATOR));
    if (pendingLearnedState != null && endpointTable.size() > 0) {
      Log.info(
          "recalled what was learnt of "
              + restoreLearnedState(pendingLearnedState).size()
              + " endpoints");
      pendingLearnedState = null;
    }
    for (final long endpoint : applied.removed()) {
      dispatcher.removeEndpoint(endpoint);
      endpointTable.remove(endpoint);
    }
    if (update != EndpointUpdate.UNAVAILABLE) {
      endpointTable.expireVacantDestinations();
      if (observer != null) {
        observer.onEndpointsListed();
      }
    }
    scheduleRound();
  }

  @Override
  public void onOutcome(
      final Dispatcher.Attempt parcel,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome answer) {
    if (halted) {
      return;
    }
    final PendingDelivery open = ((DeliveryAttempt) parcel).delivery();
    final long nowUs = pulse.recordActivity();
    open.call = null;
    if (successor != null) {
      // A message that was over before the handover is nobody's any more.
      if (handedOverNumbers.containsKey(call) && messages.remove(open.message.id()) != null) {
        successor.reportOutcome(handedOverNumbers.get(call), open.message.id(), answer);
      }
      return;
    }
    if (open.message.timeline() != null) {
      open.message.timeline().markAttemptEnded(clock.nowUs());
    }
    final boolean delivered = answer.result() == AttemptResult.DELIVERED;
    if (!open.ended) {
      if (delivered || answer.completed()) {
        count(delivered ? served : failed, open);
        complete(open);
      } else {
        store.recordAttemptOutcome(open.message, answer.result().neverExecuted());
      }
    }
    if (!delivered) {
      Log.event(
          answer.result() == AttemptResult.NOT_SENT ? Event.ATTEMPT_NOT_SENT : Event.ATTEMPT_FAILED,
          "id",
          open.message.id(),
          "class",
          open.message.className(),
          "endpoint",
          endpointTable.nameOf(call.endpoint()),
          "result",
          answer.result(),
          "attempts",
          open.message.attempts(),
          "after_us",
          nowUs - call.preparedUs(),
          "wait_us",
          answer.retryAfterUs());
    }
    recordReachability(open.message.destination(), call, answer.result(), nowUs);
    control.onOutcome(
        nowUs,
        new AttemptOutcome(
            open.message.id(),
            answer.result(),
            open.ended,
            call.endpoint(),
            health.wasRunningBetween(call.preparedUs(), nowUs) ? nowUs - call.preparedUs() : -1,
            answer.retryAfterUs(),
            answer.loadReport()));
    if (observer != null) {
      notifyObserver(open.message.destination(), answer, nowUs);
    }
    scheduleRound();
  }

  private void notifyObserver(
      final long destination, final Dispatcher.DispatchOutcome answer, final long nowUs) {
    if (answer.retryAfterUs() > 0) {
      observer.onRetryAfter(destination, nowUs + answer.retryAfterUs());
    }
    if (answer.loadReport() != null && answer.loadReport().callsPerSecond() > 0) {
      observer.onRateLimit(destination, answer.loadReport().callsPerSecond());
    }
  }

  /** What a call's outcome says of this courier's own way out. */
  private void recordReachability(
      final long destination,
      final Dispatcher.Call call,
      final AttemptResult result,
      final long nowUs) {
    switch (result) {
      case DELIVERED, ERROR, REFUSED -> onReachable(nowUs);
      case NO_CONNECTION, TIMED_OUT ->
          health.recordNoResponse(destination, call.preparedUs(), nowUs);
      // One that was given up by this courier's own will, or met a connection that was dead, says
      // nothing.
      default -> {}
    }
  }

  @Override
  public void onRetryAfter(final long endpoint, final long waitUs) {
    if (isDeciding()) {
      control.onRetryAfter(clock.nowUs(), endpoint, waitUs);
      scheduleRound();
    }
  }

  @Override
  public void onMessagesWritten(final int count) {
    messagesWritten += count;
  }

  @Override
  public void onConfirmed(final List<StoredMessage> known) {
    if (!isDeciding()) {
      // The newer process tells them once more, which does no harm.
      return;
    }
    final long nowUs = clock.nowUs();
    for (final StoredMessage held : known) {
      if (held.timeline() != null && held.timeline().latenessUs(nowUs) > LATE_OUTCOME_US) {
        Log.event(
            Event.MESSAGE_ENDED_LATE,
            "id",
            held.id(),
            "class",
            held.className(),
            "attempts",
            held.attempts(),
            "way",
            held.timeline().describe(nowUs));
      }
      store.recordCompleted(held);
    }
    scheduleRound();
  }

  private void count(final long[] ends, final PendingDelivery open) {
    ends[classIndexes.get(open.message.className())]++;
  }

  // ---------------------------------------------------------------- operators

  /** True if an endpoint of that name was ever listed here. */
  boolean isKnownEndpoint(final String endpoint) {
    return endpointTable.isKnown(endpoint);
  }

  /** Exactly these endpoints are left out by hand from now on, whatever the list says. */
  void setDisabledEndpoints(final Set<String> endpoints) {
    if (successor != null) {
      return;
    }
    final Map<Long, Boolean> news = endpointTable.setDisabled(endpoints);
    news.forEach(
        (endpoint, out) -> {
          // What is kept open to them dies with their restart.
          dispatcher.closeIdleConnections(endpoint);
          control.onEndpointDirective(
              clock.nowUs(),
              endpoint,
              out ? DISABLED_BY_OPERATOR : DISABLED_BY_OPERATOR.withdrawn());
          if (!out) {
            control.onEndpointEnabled(clock.nowUs(), endpoint);
          }
        });
    if (!news.isEmpty()) {
      scheduleRound();
    }
  }

  /** From now on that one hears what is told and found out here. */
  void setObserver(final StateObserver by) {
    observer = by;
    updateOutages(false);
  }

  /** A subsystem says something of a destination. */
  void applyDirective(final long destination, final Directive word) {
    if (isDeciding() && control.onDestinationDirective(clock.nowUs(), destination, word)) {
      updateOutages(false);
      scheduleRound();
    }
  }

  /**
   * Looks which destinations are out; the witness is told of what has changed by own knowledge,
   * while this courier is well.
   */
  private void updateOutages(final boolean tells) {
    observedVersion = control.circuitTransitions();
    final Map<Long, Boolean> now = new LinkedHashMap<>();
    control
        .routes()
        .forEach(
            lane ->
                now.merge(
                    lane.destinationId(), lane.circuitState().equals("OUT"), Boolean::logicalAnd));
    now.forEach(
        (destination, isOut) -> {
          final boolean changed =
              isOut ? destinationsOut.add(destination) : destinationsOut.remove(destination);
          if (changed && tells && health.report(clock.nowUs()).state() == LocalHealth.State.WELL) {
            observer.onOutageChanged(destination, isOut);
          }
        });
    destinationsOut.retainAll(now.keySet());
  }

  /** What this process has done, and what it has now. */
  CourierMetrics metrics() {
    final List<CourierMetrics.ClassOutcomes> ends =
        config.settings().classes().stream()
            .map(
                kind -> {
                  final int index = classIndexes.get(kind.name());
                  return new CourierMetrics.ClassOutcomes(
                      kind.name(), served[index], rejected[index], failed[index]);
                })
            .toList();
    return new CourierMetrics(
        ends,
        messagesWritten,
        successor == null ? messages.size() : 0,
        endpointTable.size(),
        endpointTable.countExcluded(control.avoidedEndpoints()));
  }

  // ---------------------------------------------------------------- a newer process, an older
  // process

  /**
   * Decides nothing more: from now on this is a front and a carrier for another process.
   *
   * @throws IOException if the journal cannot be brought up to date; then all goes on as it was
   */
  HandoverSnapshot handOver(final Successor to) throws IOException {
    // What this turn brought is decided and answered here.
    runRound();
    final MessageStore.FlushResult flush = store.flush();
    effects.runAfterFlush(flush, clock.nowUs());
    if (flush != MessageStore.FlushResult.DURABLE) {
      throw new IOException("the journal cannot be written");
    }
    successor = to;
    messages.values().removeIf(open -> open.call == null);
    return snapshot();
  }

  /**
   * Another one decides from now on, after the one that did has ended; what is out here goes on.
   */
  HandoverSnapshot handOverAgain(final Successor to) {
    successor = to;
    return snapshot();
  }

  /**
   * What was learnt so far, null while another process decides, or nothing or too much is listed.
   */
  HandoverSnapshot learnedState() {
    return successor != null
            || endpointTable.size() == 0
            || endpointTable.size() > MAX_REMEMBERED_ENDPOINTS
        ? null
        : new HandoverSnapshot(endpointTable.snapshot(), control.learnedState(), List.of());
  }

  /**
   * How each destination is, with the names of its endpoints in place of their numbers; as JSON for
   * operators.
   */
  ArrayNode routeStatus() {
    final ArrayNode lanes = JsonNodeFactory.instance.arrayNode();
    for (final RouteStatus lane : control.routes()) {
      final ObjectNode one =
          lanes
              .addObject()
              .put("destination", lane.destinationId())
              .put("phase", lane.circuitState())
              .put("window", lane.window())
              .put("in_flight", lane.callsInFlight())
              .put("silent", lane.overdueCalls())
              .put("waiting", lane.waitingMessages())
              .put("served_per_s", lane.callsPerSecond())
              .put("cause", lane.rejectionCause())
              .put("evidence", lane.noiseEvidence())
              .put("refused_share", lane.rejectedShare())
              .put("further_calls", lane.retryBudget())
              .put("growing", lane.inInitialGrowth())
              .put("why", lane.blockedReason());
      if (Double.isFinite(lane.permittedPerSecond())) {
        one.put("spacing_per_s", lane.permittedPerSecond());
      }
      final ArrayNode said = one.putArray("said");
      for (final RouteStatus.Constraint word : lane.constraints()) {
        final ObjectNode entry =
            said.addObject()
                .put("what", word.type().toLowerCase(Locale.ROOT))
                .put("value", word.value())
                .put("by", word.source());
        if (word.endpointId() >= 0) {
          entry.put("endpoint", endpointTable.nameOf(word.endpointId()));
        }
        if (word.untilUs() != Long.MAX_VALUE) {
          entry.put("for_s", (word.untilUs() - clock.nowUs()) / US_PER_S);
        }
      }
      final ArrayNode endpoints = one.putArray("endpoints");
      lane.endpoints().forEach(number -> endpoints.add(endpointTable.nameOf(number)));
    }
    return lanes;
  }

  /** Changes whenever what was learnt has changed so much that it is worth putting down. */
  long learnedStateVersion() {
    return control.circuitTransitions();
  }

  /** What the process before this one had learnt is taken up as soon as the list is told. */
  void restoreWhenListed(final LearnedStateSource found) {
    pendingLearnedState = found;
  }

  private HandoverSnapshot snapshot() {
    final IdentityHashMap<Dispatcher.Call, List<String>> out = new IdentityHashMap<>();
    for (final PendingDelivery open : messages.values()) {
      out.computeIfAbsent(open.call, unused -> new ArrayList<>()).add(open.message.id());
    }
    final List<HandoverSnapshot.InFlightRemoteCall> calls = new ArrayList<>();
    out.forEach(
        (call, ids) -> {
          final long number =
              handedOverNumbers.computeIfAbsent(call, unused -> handedOverNumbers.size() + 1L);
          handedOverCalls.put(number, call);
          calls.add(
              new HandoverSnapshot.InFlightRemoteCall(
                  number,
                  call.endpoint(),
                  messages.get(ids.get(0)).message.destination(),
                  call.preparedUs(),
                  ids));
        });
    return new HandoverSnapshot(endpointTable.snapshot(), control.learnedState(), calls);
  }

  /** Gives up a call that was out when the newer process took over. */
  void abandonHandedOverCall(final long number, final AttemptResult result) {
    final Dispatcher.Call call = handedOverCalls.get(number);
    if (call != null && messages.values().stream().anyMatch(open -> open.call == call)) {
      abandonCall(call, result);
    }
  }

  /** Goes on with the counts of another host of this process. */
  void continueCountersOf(final DecisionLoop before) {
    System.arraycopy(before.served, 0, served, 0, served.length);
    System.arraycopy(before.rejected, 0, rejected, 0, rejected.length);
    System.arraycopy(before.failed, 0, failed, 0, failed.length);
    messagesWritten = before.messagesWritten;
  }

  /** The power is cut: whatever is told from now on has no effect. Runs on the event loop. */
  void halt() {
    halted = true;
  }

  private boolean isDeciding() {
    return successor == null && !halted;
  }

  /** True once another process decides. */
  boolean hasSuccessor() {
    return successor != null;
  }

  @Override
  public void onMessageSubmitted(final StoredMessage held, final Ingress.Reply reply) {
    final long nowUs = clock.nowUs();
    final long validUntilUs = held.deadlineUs();
    held.startTimeline(new MessageTimeline(nowUs, nowUs, nowUs, validUntilUs));
    if (classIndexes.containsKey(held.className())) {
      submit(held, validUntilUs, reply);
    } else {
      reply.failed();
    }
  }

  @Override
  public void onRemoteOutcome(final String messageId, final Dispatcher.DispatchOutcome answer) {
    final DeliveryAttempt part = predecessorAttempts.remove(messageId);
    if (part != null) {
      final Dispatcher.Call call = part.delivery.call;
      if (answer.retryAfterUs() > 0) {
        dispatcher.abandonUnwrittenCalls(call.endpoint());
      }
      onOutcome(part, call, answer);
    }
  }

  @Override
  public void onPredecessorGone() {
    List.copyOf(predecessorAttempts.keySet())
        .forEach(
            id ->
                onRemoteOutcome(
                    id, new Dispatcher.DispatchOutcome(AttemptResult.RESET, false, 0, null)));
  }

  // ---------------------------------------------------------------- room among shards

  @Override
  public CapacityExchange.CapacityUsage capacityUsage() {
    final CapacityExchange.CapacityUsage use =
        new CapacityExchange.CapacityUsage(
            control.callsInFlight(), callLimitReached, messages.size(), messageLimitReached);
    callLimitReached = control.needsMoreCapacity();
    messageLimitReached = false;
    return use;
  }

  @Override
  public void applyCapacityLimits(final int slotsNow, final int maxOpenNow) {
    maxOpen = maxOpenNow;
    control.onCapacityChanged(clock.nowUs(), slotsNow, maxOpenNow);
    scheduleRound();
  }

  // ---------------------------------------------------------------- the pass

  /** Lets the decisions be made once all that this pass of the loop brought has been told. */
  private void scheduleRound() {
    if (!roundScheduled && isDeciding()) {
      roundScheduled = true;
      loop.execute(this::runRound);
    }
  }

  private void runRound() {
    if (!roundScheduled || !isDeciding()) {
      return;
    }
    roundScheduled = false;
    // One moment for all of it: a stop in the middle of a pass is found by the next one, before it
    // is judged by.
    final long nowUs = pulse.recordActivity();
    pulse.setBusy(!messages.isEmpty());
    try {
      runController(nowUs);
    } catch (final RuntimeException | Error e) {
      Log.failure("decisions failed", e);
    }
    attemptsByEndpoint.forEach(
        (endpoint, parcels) ->
            GuardedTasks.guard("calls to an endpoint", () -> prepareCalls(endpoint, parcels))
                .run());
    attemptsByEndpoint.clear();
    // The journal is ahead of all that this pass promises: answers, calls, and ends that are told.
    effects.runAfterFlush(store.flush(), clock.nowUs());
    scheduleJournalRetry();
  }

  /**
   * While nothing can be written nothing can be sent or taken on; what is due ends all the same.
   */
  private void runController(final long nowUs) {
    if (!store.isWritable() && store.flush() != MessageStore.FlushResult.DURABLE) {
      control.onDecisionsDelayed(nowUs);
      return;
    }
    control.decide(nowUs);
    callLimitReached |= control.needsMoreCapacity();
    if (observer != null && control.circuitTransitions() != observedVersion) {
      updateOutages(true);
    }
  }

  /** Tries a journal again that could not be written; one try is planned at a time. */
  private void scheduleJournalRetry() {
    if (store.isWritable() || journalRetryScheduled) {
      return;
    }
    journalRetryScheduled = true;
    loop.schedule(
        () -> {
          journalRetryScheduled = false;
          scheduleRound();
        },
        JOURNAL_RETRY_MS,
        TimeUnit.MILLISECONDS);
  }

  private void rejectUnjournaled(final PendingDelivery message) {
    final Ingress.Reply reply = message.reply;
    complete(message);
    count(rejected, message);
    control.onMessageAbandoned(clock.nowUs(), message.message.id());
    Log.event(
        Event.REQUEST_REFUSED,
        "id",
        message.message.id(),
        "class",
        message.messageClass.name(),
        "why",
        "journal_write_failed");
    reply.rejected(Ingress.RejectionReason.NO_ROOM, STORE_FULL_RETRY_AFTER_US);
  }

  /** Carries out what the journal holds, or need not hold. */
  private final class EffectExecutor implements DurableEffects.Executor {
    @Override
    public void accept(final PendingDelivery message) {
      final Ingress.Reply reply = message.reply;
      message.reply = null;
      message.message.timeline().markAnswered(clock.nowUs());
      reply.accepted();
    }

    @Override
    public void rejectUnjournaled(final PendingDelivery message) {
      DecisionLoop.this.rejectUnjournaled(message);
    }

    @Override
    public void startCall(final Dispatcher.Call call) {
      dispatcher.start(call);
    }

    @Override
    public void dropCall(final Dispatcher.Call call) {
      // An attempt that the journal does not know of would be forgotten by a restart.
      loop.execute(() -> dispatcher.abandon(call, AttemptResult.NOT_SENT));
    }
  }

  private void prepareCalls(final long endpoint, final List<DeliveryAttempt> parcels) {
    final int most = Math.max(1, endpointTable.messagesPerCall(endpoint));
    for (int from = 0; from < parcels.size(); from += most) {
      final List<DeliveryAttempt> some =
          parcels.subList(from, Math.min(parcels.size(), from + most));
      final Dispatcher.Call call = dispatcher.prepare(endpoint, some);
      for (final DeliveryAttempt parcel : some) {
        parcel.delivery().call = call;
        if (parcel.message().timeline() != null) {
          parcel.message().timeline().markAttemptStarted(clock.nowUs());
        }
        store.recordAttemptStarted(
            parcel.delivery().message, clock.nowUs(), endpointTable.zoneOf(endpoint));
      }
      effects.addCall(call);
    }
  }

  // ---------------------------------------------------------------- what the decisions ask for

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    final PendingDelivery open = messages.get(messageId);
    if (open != null) {
      attemptsByEndpoint
          .computeIfAbsent(endpoint, unused -> new ArrayList<>())
          .add(new DeliveryAttempt(open, timeoutUs, latestSendUs(open)));
    }
  }

  /**
   * A decision is carried out later than it was made: a loop stands still, a connection takes its
   * time.
   */
  private long latestSendUs(final PendingDelivery open) {
    final PriorAttempts past = open.message.priorAttempts();
    return open.messageClass.retryDeadlineUs(past.mayHaveExecuted(), past.firstExecutionUs());
  }

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    final PendingDelivery open = messages.get(messageId);
    if (open == null) {
      return;
    }
    count(rejected, open);
    if (open.reply == null) {
      finish(open, new StoredMessage.FinalOutcome(false, retryAfterUs / US_PER_MS));
    } else {
      final Ingress.Reply reply = open.reply;
      complete(open);
      Log.event(
          Event.REQUEST_REFUSED,
          "id",
          messageId,
          "class",
          open.messageClass.name(),
          "why",
          "decided",
          "retry_after_us",
          retryAfterUs);
      effects.addRejection(
          () -> reply.rejected(Ingress.RejectionReason.DECIDED, retryAfterUs), clock.nowUs());
    }
  }

  @Override
  public void fail(final String messageId) {
    final PendingDelivery open = messages.get(messageId);
    if (open == null) {
      return;
    }
    count(failed, open);
    if (open.reply == null) {
      finish(open, new StoredMessage.FinalOutcome(true, 0));
    } else {
      final Ingress.Reply reply = open.reply;
      complete(open);
      effects.addRejection(reply::failed, clock.nowUs());
    }
  }

  /**
   * Ends a message that was taken on by a notice; the journal holds the notice until it is
   * confirmed.
   */
  private void finish(final PendingDelivery open, final StoredMessage.FinalOutcome notice) {
    open.ended = true;
    if (open.message.timeline() != null) {
      open.message.timeline().markEnded(clock.nowUs());
    }
    messages.remove(open.message.id());
    health.recordMessageCompleted();
    Log.event(
        Event.MESSAGE_ENDED,
        "id",
        open.message.id(),
        "class",
        open.message.className(),
        "dest",
        open.message.destination(),
        "end",
        notice.failed() ? "undeliverable" : "deferred",
        "attempts",
        open.message.attempts(),
        "time_left_us",
        open.deadlineUs - clock.nowUs());
    store.recordFinalOutcome(open.message, notice);
    effects.addFinalOutcome(open.message);
  }

  private void complete(final PendingDelivery open) {
    open.ended = true;
    open.reply = null;
    messages.remove(open.message.id());
    health.recordMessageCompleted();
    store.recordCompleted(open.message);
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    final PendingDelivery open = messages.get(messageId);
    if (open != null && open.call != null) {
      final Dispatcher.Call call = open.call;
      final long decidedUs = clock.nowUs();
      loop.execute(
          () -> ports.afterPoll(decidedUs, () -> abandonCall(call, AttemptResult.CANCELLED)));
    }
  }

  /** Gives up a call, here or where it is out. */
  private void abandonCall(final Dispatcher.Call call, final AttemptResult result) {
    if (call instanceof RemoteCall far) {
      predecessor.abandonCall(far.number(), result);
    } else {
      dispatcher.abandon(call, result);
    }
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    dispatcher.closeIdleConnections(endpoint);
  }

  @Override
  public void subscribeToEndpointList() {
    directory.requestUpdates();
  }

  @Override
  public void scheduleDecision(final long delayUs) {
    final long dueUs = clock.nowUs() + delayUs;
    loop.schedule(() -> onTimer(dueUs), delayUs, TimeUnit.MICROSECONDS);
  }

  /**
   * A process that was stopped wakes to its timers first: what has come meanwhile is read before
   * anything is judged.
   */
  private void onTimer(final long dueUs) {
    if (clock.nowUs() - dueUs >= LATE_TIMER_US) {
      endOverdueMessages();
      ports.afterPoll(dueUs, this::scheduleRound);
    } else {
      scheduleRound();
    }
  }

  /**
   * On a small share of a core the next pass may be a long way off: ends that are due are told
   * ahead of it.
   */
  private void endOverdueMessages() {
    if (!isDeciding()) {
      return;
    }
    control.onDecisionsDelayed(clock.nowUs());
    effects.runRejectionsAndOutcomes(store.flush(), clock.nowUs());
    scheduleJournalRetry();
  }

  // ---------------------------------------------------------------- a new configuration

  /** Moves to the discovery of a new configuration at once; all else counts from the next start. */
  void reload(final CourierConfig fresh) {
    final boolean same =
        fresh.settings().equals(config.settings())
            && fresh.listenAddress().equals(config.listenAddress());
    Log.info(
        "SIGHUP: discovery is at "
            + fresh.discoveryAddress()
            + (same ? "" : "; what else is new in the configuration counts from the next start"));
    directory.reload(fresh);
    outcomeNotifier.reload(fresh);
  }

  // ---------------------------------------------------------------- the end of the process

  /** This process ends at that moment: nothing is begun that cannot end by then. */
  void prepareToStop(final long stopUs) {
    if (successor == null) {
      control.onStopping(clock.nowUs(), stopUs);
      scheduleRound();
    }
  }

  /** True when nothing is under way that the end of the process would cut off. */
  boolean isIdle() {
    return messages.isEmpty()
        && (successor != null || (outcomeNotifier.isEmpty() && !effects.hasUnreportedOutcomes()));
  }
}
