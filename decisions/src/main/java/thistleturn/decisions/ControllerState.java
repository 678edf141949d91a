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
 * What the parts of the controller share: the settings, the current time, who is known, the
 * capacity in use, and what has changed since the last round. It decides nothing.
 */
final class ControllerState {
  final DeliverySettings settings;
  final DeliveryActions actions;

  /** The courier's only source of randomness: all draw from it, in the order of the events. */
  final Random random;

  final RecoveryPacer recoveryPacer;
  final LatencyEstimator latencies;

  /** Whether rejections, failures and first seconds are classified. */
  final boolean classifiesFaults;

  /** Whether this courier keeps to its share of a reported rate. */
  final boolean sharesRates;

  /** Whether a thin share is kept to less strictly in a vast fleet. */
  final boolean relaxesSmallShares;

  final Map<Long, Destination> destinations = new HashMap<>();
  final Map<Long, EndpointHealth> endpoints = new HashMap<>();

  /** When routes are to be ranked and checked again. */
  final TimeHeap<RouteTimer> routeTimers = new TimeHeap<>();

  /** The time of the current event or round. */
  long nowUs;

  /** When this process ends; {@link OverloadController#NEVER} while it goes on. */
  long stopAtUs = OverloadController.NEVER;

  /** Counts the events and rounds so far. */
  long tick;

  /** Counts the steps taken so far. */
  long stepCount;

  /** Counts the moves of circuits so far. */
  long circuitTransitions;

  /** When a round is wanted that no event and no timer would bring. */
  long nextRoundUs = OverloadController.NEVER;

  /** What this courier may use now, and what it uses. */
  int concurrencyLimit;

  int maxPendingMessages;
  int callsInFlight;
  int pendingMessages;

  /** Routes on which a step is more than the passing of time. */
  List<Route> activeRoutes = new ArrayList<>();

  /** Destinations that have changed since the last round, and the list of the round before. */
  private List<Destination> changedDestinations = new ArrayList<>();

  private List<Destination> checkedDestinations = new ArrayList<>();

  /** Routes by the urgency of what they would send: as it is, and for each call's time. */
  private Ranking<ReadyRoute> byUrgency;

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

  /** Returns the destination of this number, a new one if it is not known yet. */
  Destination destination(final long id) {
    return destinations.computeIfAbsent(id, Destination::new);
  }

  // ---------------------------------------------------------------- rankings

  /** Sets by what routes and destinations are ranked; once, before the first event. */
  void initializeRankings(
      final ToDoubleFunction<ReadyRoute> urgency,
      final ToDoubleFunction<Destination> shedPriority,
      final long budgetUs) {
    byUrgency = new Ranking<>(urgency, ReadyRoute.ORDER, budgetUs);
    byUrgencyPerCallTime = new Ranking<>(urgency, ReadyRoute.ORDER, budgetUs);
    shedCandidates = new Ranking<>(shedPriority, Destination.ORDER, budgetUs);
  }

  /**
   * Returns the routes by the urgency of what they would send. With the message store over half
   * full some messages will not be served: then by the urgency for each call's time.
   */
  Ranking<ReadyRoute> readyRoutes() {
    return 2 * pendingMessages > maxPendingMessages ? byUrgencyPerCallTime : byUrgency;
  }

  /** Returns the destinations by what would be shed first. */
  Ranking<Destination> shedCandidates() {
    return shedCandidates;
  }

  /** Has the routes and the queue of a destination ranked anew before the next choice. */
  void rerank(final Destination destination) {
    shedCandidates.invalidate(destination);
    for (final Route route : destination.routes()) {
      byUrgency.invalidate(route.entryByUrgency());
      byUrgencyPerCallTime.invalidate(route.entryByUrgencyPerCallTime());
    }
  }

  /** Has all routes ranked anew before the next choice. */
  void rerankAll() {
    byUrgency.invalidateAll();
    byUrgencyPerCallTime.invalidateAll();
  }

  // ---------------------------------------------------------------- changes

  /** Notes that an event or time has changed a destination: it is checked and ranked again. */
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

  /** Has a route checked again when its recovery ends. */
  void scheduleRecoveryEnd(final Route route) {
    final long endUs = route.circuit().recoverySinceUs() + settings.guarantees().warmUpUs();
    routeTimers.schedule(route.recoveryEndTimer(), endUs + 1);
  }

  /** Begins a step; returns the routes that take it, which become active again by events only. */
  List<Route> beginStep() {
    stepCount++;
    final List<Route> stepping = activeRoutes;
    activeRoutes = new ArrayList<>();
    return stepping;
  }
}
