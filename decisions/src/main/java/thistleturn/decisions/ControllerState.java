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
 * What the rooms of the decisions share: the settings, the moment, who is known, and what has
 * changed since the last pass. It decides nothing.
 */
final class ControllerState {
  final DeliverySettings settings;
  final DeliveryActions actions;

  /** The courier's only source of chance: all draw from it, in the order of the events. */
  final Random random;

  final RecoveryPacer recoveryPacer;
  final LatencyEstimator latencies;

  /**
   * Whether refusals, failures and first seconds are read; even parts are kept to; thin ones are
   * deep.
   */
  final boolean classifiesFaults, sharesRates, relaxesThinShares;

  final Map<Long, Destination> destinations = new HashMap<>();
  final Map<Long, EndpointHealth> endpoints = new HashMap<>();

  /** Destinations of which something has changed since the last pass. */
  final List<Destination> changedDestinations = new ArrayList<>();

  /** When lanes are to be looked at again. */
  final TimeHeap<RouteTimer> routeTimers = new TimeHeap<>();

  /** Lanes on which a step is more than the passing of time. */
  List<Route> activeRoutes = new ArrayList<>();

  /** What this courier may use now, and what it uses. */
  int concurrencyLimit, maxPendingMessages, callsInFlight, pendingMessages;

  long nowUs, stopAtUs = OverloadController.NEVER;

  /** Steps taken; events and passes so far; lanes gone out or returning. */
  long stepCount, tick, circuitTransitions;

  /** When a pass is wanted that no event and no heap would bring. */
  long nextRoundUs = OverloadController.NEVER;

  /**
   * Lanes by the urgency of what may go: as it is, and for each call's time where the store is
   * crowded.
   */
  private List<Ranking<ReadyRoute>> readyRoutes;

  /** Destinations by the message in their line that is worth least: the first to make room. */
  private Ranking<Destination> shedCandidates;

  ControllerState(
      final DeliverySettings settings,
      final long seed,
      final DeliveryActions actions,
      final boolean learns,
      final boolean shares,
      final boolean thin) {
    this.settings = settings;
    this.actions = actions;
    this.random = new Random(seed);
    this.recoveryPacer = new RecoveryPacer(settings, random);
    this.latencies = new LatencyEstimator(settings.classes());
    this.classifiesFaults = learns;
    this.sharesRates = shares;
    this.relaxesThinShares = thin;
    this.concurrencyLimit = settings.limits().concurrencyLimit();
    this.maxPendingMessages = settings.limits().maxPendingMessages();
  }

  /** Says by what lanes and destinations are ranked; once, before anything is told. */
  void initializeRankings(
      final ToDoubleFunction<ReadyRoute> urgency,
      final ToDoubleFunction<Destination> leastWorth,
      final long lookUs) {
    readyRoutes =
        List.of(
            new Ranking<>(urgency, ReadyRoute.ORDER, lookUs),
            new Ranking<>(urgency, ReadyRoute.ORDER, lookUs));
    shedCandidates = new Ranking<>(leastWorth, Destination.ORDER, lookUs);
  }

  /**
   * Lanes by what their messages lose; with the store over half full some messages will not be
   * served.
   */
  Ranking<ReadyRoute> readyRoutes() {
    return readyRoutes.get(2 * pendingMessages > maxPendingMessages ? 1 : 0);
  }

  /** Destinations by what is refused first. */
  Ranking<Destination> shedCandidates() {
    return shedCandidates;
  }

  Destination destination(final long id) {
    return destinations.computeIfAbsent(id, Destination::new);
  }

  /**
   * Something about a destination has changed, or time has brought it something: it is looked at
   * again.
   */
  void markChanged(final Destination destination) {
    if (!destination.changed) {
      destination.changed = true;
      changedDestinations.add(destination);
    }
    rerank(destination);
    for (final Route lane : destination.routes) {
      lane.catchUpIdleSteps(stepCount);
      if (!lane.active) {
        lane.active = true;
        activeRoutes.add(lane);
      }
    }
  }

  /** Its lanes and its line are ranked anew before the next choice. */
  void rerank(final Destination destination) {
    shedCandidates.invalidate(destination);
    for (final Route lane : destination.routes) {
      for (final ReadyRoute entry : lane.readyEntries) {
        readyRoutes.get(entry.rankingMode).invalidate(entry);
      }
    }
  }

  /** All lanes are ranked anew before the next choice. */
  void rerankAll() {
    readyRoutes.forEach(Ranking::invalidateAll);
  }
}
