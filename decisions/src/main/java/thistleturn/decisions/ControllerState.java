package thistleturn.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import thistleturn.decisions.index.Ranking;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.DeliverySettings;

/**
 * The state shared by the parts of the controller: settings, current time, known destinations and
 * endpoints, capacity in use, and changes since the last round. It makes no decisions.
 */
final class ControllerState {
  final DeliverySettings settings;
  final DeliveryActions actions;

  /**
   * The courier's only source of randomness; all components draw from it in the order of events.
   */
  final Random random;

  final RecoveryPacer recoveryPacer;
  final LatencyEstimator latencies;

  /**
   * Whether rejections and failures are classified by cause, and the first seconds of a route
   * handled separately.
   */
  final boolean classifiesFaults;

  /** Whether this courier limits its calls to its share of a reported rate. */
  final boolean sharesRates;

  /** Whether a small rate share is enforced less strictly in a vast fleet. */
  final boolean relaxesSmallShares;

  final Map<Long, Destination> destinations = new HashMap<>();
  final Map<Long, EndpointHealth> endpoints = new HashMap<>();

  /** The times at which routes are to be ranked and checked again. */
  final TimeHeap<RouteTimer> routeTimers = new TimeHeap<>();

  /** The time of the current event or round. */
  long nowUs;

  /** When this process stops; {@link OverloadController#NEVER} if no stop is planned. */
  long stopAtUs = OverloadController.NEVER;

  /** Number of events and rounds so far. */
  long tick;

  /** Number of steps so far. */
  long stepCount;

  /** Number of circuit transitions so far. */
  long circuitTransitions;

  /** When a round is needed that neither an event nor a timer would start. */
  long nextRoundUs = OverloadController.NEVER;

  /** Calls that this courier may have in flight now. */
  int concurrencyLimit;

  /** Messages that this courier may hold now. */
  int maxPendingMessages;

  int callsInFlight;
  int pendingMessages;

  /** Routes whose next step has more to do than to let time pass. */
  List<Route> activeRoutes = new ArrayList<>();

  /** Destinations that have changed since the last round. */
  private List<Destination> changedDestinations = new ArrayList<>();

  /** The changed destinations of the last round; the list is reused for the next one. */
  private List<Destination> checkedDestinations = new ArrayList<>();

  /** Routes by the urgency of the messages that they would send. */
  private Ranking<ReadyRoute> byUrgency;

  /** Routes by urgency per unit of call duration. */
  private Ranking<ReadyRoute> byUrgencyPerCallTime;

  /** Destinations by the value of the message that would be shed first. */
  private Ranking<Destination> shedCandidates;

  ControllerState(
      final DeliverySettings settings,
      final long seed,
      final DeliveryActions actions,
      final boolean classifiesFaults,
      final boolean sharesRates,
      final boolean relaxesSmallShares) {
    this.settings = settings;
    this.actions = actions;
    this.random = new Random(seed);
    this.recoveryPacer = new RecoveryPacer(settings, random, classifiesFaults);
    this.latencies = new LatencyEstimator(settings.classes());
    this.classifiesFaults = classifiesFaults;
    this.sharesRates = sharesRates;
    this.relaxesSmallShares = relaxesSmallShares;
    this.concurrencyLimit = settings.limits().concurrencyLimit();
    this.maxPendingMessages = settings.limits().maxPendingMessages();
  }

  /** Returns the destination with an id, created if it is not known yet. */
  Destination destination(final long id) {
    return destinations.computeIfAbsent(id, Destination::new);
  }

  // ---------------------------------------------------------------- rankings

  /** Sets the ranking functions of routes and destinations; called once, before the first event. */
  void initializeRankings(
      final ToDoubleFunction<ReadyRoute> urgency,
      final ToDoubleFunction<Destination> shedPriority,
      final long budgetUs) {
    byUrgency = new Ranking<>(urgency, ReadyRoute.ORDER, budgetUs);
    byUrgencyPerCallTime = new Ranking<>(urgency, ReadyRoute.ORDER, budgetUs);
    shedCandidates = new Ranking<>(shedPriority, Destination.ORDER, budgetUs);
  }

  /**
   * Returns the routes by the urgency of the messages that they would send. If the message store is
   * more than half full, some messages will not be served, and the ranking is by urgency per unit
   * of call duration.
   */
  Ranking<ReadyRoute> readyRoutes() {
    return 2 * pendingMessages > maxPendingMessages ? byUrgencyPerCallTime : byUrgency;
  }

  /** Returns the destinations by the value of the message that would be shed first. */
  Ranking<Destination> shedCandidates() {
    return shedCandidates;
  }

  /**
   * Invalidates the ranking of a destination and its routes; they are ranked again before the next
   * choice.
   */
  void rerank(final Destination destination) {
    shedCandidates.invalidate(destination);
    for (final Route route : destination.routes()) {
      byUrgency.invalidate(route.entryByUrgency());
      byUrgencyPerCallTime.invalidate(route.entryByUrgencyPerCallTime());
    }
  }

  /** Invalidates the ranking of all routes; they are ranked again before the next choice. */
  void rerankAll() {
    byUrgency.invalidateAll();
    byUrgencyPerCallTime.invalidateAll();
  }

  // ---------------------------------------------------------------- changes

  /**
   * Marks a destination as changed by an event or by time, so that it is checked and ranked again.
   */
  void markChanged(final Destination destination) {
    if (!destination.isChanged()) {
      destination.markChanged();
      changedDestinations.add(destination);
    }
    rerank(destination);
    for (final Route route : destination.routes()) {
      route.catchUpIdleSteps(stepCount);
      if (route.activate()) {
        activeRoutes.add(route);
      }
    }
  }

  /** Marks the destinations whose route timers are due. */
  void markChangedByTime() {
    for (RouteTimer due = routeTimers.poll(nowUs); due != null; due = routeTimers.poll(nowUs)) {
      markChanged(due.route().destination());
    }
  }

  /** Returns the destinations changed since the last call, in order; valid until the next one. */
  List<Destination> takeChangedDestinations() {
    final List<Destination> taken = changedDestinations;
    changedDestinations = checkedDestinations;
    changedDestinations.clear();
    checkedDestinations = taken;
    taken.sort(Destination.ORDER);
    taken.forEach(Destination::clearChanged);
    return taken;
  }

  /** Schedules a check of a route for the end of its recovery. */
  void scheduleRecoveryEnd(final Route route) {
    final long endUs = route.circuit().recoverySinceUs() + settings.guarantees().warmUpUs();
    routeTimers.schedule(route.recoveryEndTimer(), endUs + 1);
  }

  /** Begins a step. Returns the routes to be stepped; only an event makes them active again. */
  List<Route> beginStep() {
    stepCount++;
    final List<Route> stepping = activeRoutes;
    activeRoutes = new ArrayList<>();
    return stepping;
  }
}
