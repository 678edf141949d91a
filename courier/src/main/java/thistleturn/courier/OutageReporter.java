package thistleturn.courier;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StateObserver;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.RouteStatus;
import thistleturn.decisions.health.LocalHealth;

/**
 * Reports to a {@link StateObserver} what this loop learns of destinations: waits, rate limits and
 * outages. Without an observer it reports nothing.
 */
final class OutageReporter {
  /**
   * The circuit state of a route that gets no calls but trials, as {@link RouteStatus} reports it.
   */
  private static final String OPEN_CIRCUIT = "OUT";

  private final Clock clock;
  private final LocalHealth health;
  private final LongSupplier circuitTransitions;
  private final Supplier<List<RouteStatus>> routes;
  private final Set<Long> destinationsOut = new HashSet<>();
  private StateObserver observer;
  private long reportedTransitions;

  /**
   * Reports nothing until it has an observer.
   *
   * @param circuitTransitions a number that changes with each change of a circuit
   * @param routes the state of all routes
   */
  OutageReporter(
      final Clock clock,
      final LocalHealth health,
      final LongSupplier circuitTransitions,
      final Supplier<List<RouteStatus>> routes) {
    this.clock = clock;
    this.health = health;
    this.circuitTransitions = circuitTransitions;
    this.routes = routes;
  }

  /** Reports to this observer from now on; it begins with the current state. */
  void setObserver(final StateObserver stateObserver) {
    observer = stateObserver;
    synchronize();
  }

  /** Records which destinations are out, without reporting them. */
  void synchronize() {
    update(false);
  }

  /** Reports outages that began or ended, while this courier itself is healthy. */
  void reportChanges() {
    if (observer != null && circuitTransitions.getAsLong() != reportedTransitions) {
      update(true);
    }
  }

  private void update(final boolean reports) {
    reportedTransitions = circuitTransitions.getAsLong();
    final Map<Long, Boolean> outages = outagesByDestination(routes.get());
    outages.forEach(
        (destination, isOut) -> {
          final boolean changed =
              isOut ? destinationsOut.add(destination) : destinationsOut.remove(destination);
          if (changed && reports && isHealthy()) {
            observer.onOutageChanged(destination, isOut);
          }
        });
    destinationsOut.retainAll(outages.keySet());
  }

  /** A destination is out if all its routes are. */
  private static Map<Long, Boolean> outagesByDestination(final List<RouteStatus> routes) {
    final Map<Long, Boolean> outages = new LinkedHashMap<>();
    for (final RouteStatus route : routes) {
      final boolean isOut = route.circuitState().equals(OPEN_CIRCUIT);
      outages.merge(route.destinationId(), isOut, Boolean::logicalAnd);
    }
    return outages;
  }

  private boolean isHealthy() {
    return health.report(clock.nowUs()).state() == LocalHealth.State.WELL;
  }

  /** Reports that the endpoint list was received. */
  void reportEndpointsListed() {
    if (observer != null) {
      observer.onEndpointsListed();
    }
  }

  /** Reports a wait or a rate limit that came with an answer. */
  void reportOutcome(
      final long destination, final Dispatcher.DispatchOutcome outcome, final long nowUs) {
    if (observer == null) {
      return;
    }
    if (outcome.retryAfterUs() > 0) {
      observer.onRetryAfter(destination, nowUs + outcome.retryAfterUs());
    }
    if (outcome.loadReport() != null && outcome.loadReport().callsPerSecond() > 0) {
      observer.onRateLimit(destination, outcome.loadReport().callsPerSecond());
    }
  }
}
