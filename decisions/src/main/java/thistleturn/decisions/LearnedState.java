package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * What the controller of one courier has learned, as passed to another process of the same courier.
 * Figures are passed on unchanged, and so are moments, which are times on the clock that both
 * processes share (0 and {@link Long#MAX_VALUE} stand for long ago and never). Only code of the
 * same {@link #VERSION} can interpret it.
 *
 * @param classMeanUs the mean latency of each message class, us, in the order of the settings
 * @param classSamples the number of samples behind each mean latency
 * @param trustedIdleUs the idle time that connections are trusted to survive, us
 * @param routes the learned state of routes
 * @param endpoints the learned state of endpoints
 */
public record LearnedState(
    double[] classMeanUs,
    int[] classSamples,
    double trustedIdleUs,
    List<LearnedRoute> routes,
    List<LearnedEndpoint> endpoints) {
  /** The version of the format; raised when the meaning of a figure changes. */
  public static final int VERSION = 3;

  /** Age up to which learned state is used, us: destinations change within minutes. */
  public static final long MAX_AGE_US = 60_000_000;

  /** Half-life of a learned window, us. */
  private static final double HALF_LIFE_US = 10_000_000;

  /** Longest remaining time of a restored backoff that this courier has set itself, us. */
  private static final long MAX_BACKOFF_AHEAD_US = 20_000_000;

  /** Run of faults from which a route counts as failing: one less than opens the circuit. */
  private static final double FAILING_FAULT_RUN = 2;

  /** Gap between two processes, us, that is too short for another outage. */
  private static final long SHORT_GAP_US = 3_000_000;

  /** The learned state of a route, which is identified by one of its endpoints. */
  public record LearnedRoute(long endpointId, double[] figures, long[] moments) {}

  /** The learned state of an endpoint. */
  public record LearnedEndpoint(long endpointId, double[] figures, long[] moments) {}

  /**
   * Returns the learned state of endpoints and their routes; routes that were never called and
   * whose circuit is closed are omitted.
   */
  static LearnedState of(
      final LatencyEstimator latencies,
      final double trustedIdleUs,
      final long lastStepUs,
      final Collection<EndpointHealth> all) {
    final List<LearnedRoute> routes = new ArrayList<>();
    final List<LearnedEndpoint> endpoints = new ArrayList<>();
    for (final EndpointHealth endpoint : all) {
      final Route route = endpoint.route();
      if (route.pacing().lastSendUs() == 0 && route.circuit().isClosed()) {
        continue;
      }
      if (route.endpoints().get(0) == endpoint) {
        routes.add(
            new LearnedRoute(
                endpoint.id(),
                LearnedRouteFormat.figures(route),
                LearnedRouteFormat.moments(route, lastStepUs)));
      }
      endpoints.add(
          new LearnedEndpoint(
              endpoint.id(),
              LearnedEndpointFormat.figures(endpoint),
              LearnedEndpointFormat.moments(endpoint)));
    }
    return new LearnedState(
        latencies.means(), latencies.sampleCounts(), trustedIdleUs, routes, endpoints);
  }

  /**
   * Returns this state as restored by a process that starts after the previous one has died, with
   * times on the clock of {@code nowUs}. A learned window decays; a failing route is restored as
   * recovering, since it may have come back cold meanwhile; an open circuit stays open, and a
   * Retry-After still applies.
   *
   * @param savedUs when this state was saved
   */
  public LearnedState aged(final long savedUs, final long nowUs) {
    final List<LearnedRoute> agedRoutes =
        routes.stream().map(route -> aged(route, savedUs, nowUs)).toList();
    final List<LearnedEndpoint> agedEndpoints =
        endpoints.stream().map(endpoint -> aged(endpoint, nowUs)).toList();
    return new LearnedState(classMeanUs, classSamples, trustedIdleUs, agedRoutes, agedEndpoints);
  }

  private static LearnedRoute aged(final LearnedRoute route, final long savedUs, final long nowUs) {
    final double[] figures = route.figures.clone();
    final long[] moments = route.moments.clone();
    ageWindow(figures, nowUs - savedUs);
    agePermittedRate(figures, nowUs - moments[LearnedRouteFormat.LAST_STEP]);
    if (mayHaveComeBackCold(figures, nowUs - savedUs)) {
      beginRecovery(figures, moments, nowUs);
    }
    moments[LearnedRouteFormat.BACKOFF_UNTIL] =
        Math.min(moments[LearnedRouteFormat.BACKOFF_UNTIL], nowUs + MAX_BACKOFF_AHEAD_US);
    return new LearnedRoute(route.endpointId, figures, moments);
  }

  private static void ageWindow(final double[] figures, final long ageUs) {
    final double kept = Math.pow(0.5, Math.max(0, ageUs) / HALF_LIFE_US);
    final double window = figures[LearnedRouteFormat.WINDOW];
    // Aging does not shrink a window below that of a route of which nothing is known.
    figures[LearnedRouteFormat.WINDOW] =
        Math.max(Math.min(ConcurrencyWindow.INITIAL, window), kept * window);
  }

  /** Grows the permitted rate for the steps missed while no process ran. */
  private static void agePermittedRate(final double[] figures, final long sinceStepUs) {
    final double steps = sinceStepUs / (double) RouteStepper.STEP_US;
    figures[LearnedRouteFormat.PERMITTED_RATE] *=
        figures[LearnedRouteFormat.STEP_REJECTIONS] > 0
            ? 1
            : Math.pow(SendPacing.RATE_GROWTH, Math.max(0, steps));
  }

  private static boolean mayHaveComeBackCold(final double[] figures, final long gapUs) {
    final CircuitState circuit =
        CircuitState.ofOrdinal((int) figures[LearnedRouteFormat.CIRCUIT_STATE]);
    return switch (circuit) {
      case CLOSED -> figures[LearnedRouteFormat.FAULT_RUN] >= FAILING_FAULT_RUN;
      case OPEN -> false;
      // A recovery continues, unless the gap was long enough for another outage.
      case RECOVERING -> gapUs > SHORT_GAP_US;
    };
  }

  private static void beginRecovery(
      final double[] figures, final long[] moments, final long nowUs) {
    figures[LearnedRouteFormat.CIRCUIT_STATE] = CircuitState.RECOVERING.ordinal();
    moments[LearnedRouteFormat.RECOVERY_SINCE] = nowUs;
    // A route that was never paced is paced at the interval of its calls so far.
    final double callIntervalUs =
        OverloadController.SECOND_US
            / Math.max(Destination.MIN_RATE, figures[LearnedRouteFormat.CALL_RATE]);
    figures[LearnedRouteFormat.RECOVERY_INTERVAL] =
        Math.max(
            figures[LearnedRouteFormat.RECOVERY_INTERVAL],
            Math.min(OverloadController.SECOND_US / 2.0, callIntervalUs));
  }

  private static LearnedEndpoint aged(final LearnedEndpoint endpoint, final long nowUs) {
    final long latestUs = nowUs + MAX_BACKOFF_AHEAD_US;
    final long[] moments =
        Arrays.stream(endpoint.moments).map(momentUs -> Math.min(momentUs, latestUs)).toArray();
    return new LearnedEndpoint(endpoint.endpointId, endpoint.figures, moments);
  }

  /** Restores the learned state of the message classes, the known endpoints and their routes. */
  void restore(
      final Map<Long, EndpointHealth> known, final LatencyEstimator latencies, final long nowUs) {
    latencies.restore(classMeanUs, classSamples);
    for (final LearnedRoute learned : routes) {
      final EndpointHealth endpoint = known.get(learned.endpointId);
      if (endpoint != null) {
        LearnedRouteFormat.restore(endpoint.route(), learned.figures, learned.moments, nowUs);
      }
    }
    for (final LearnedEndpoint learned : endpoints) {
      final EndpointHealth endpoint = known.get(learned.endpointId);
      if (endpoint != null) {
        LearnedEndpointFormat.restore(endpoint, learned.figures, learned.moments);
      }
    }
  }
}
