package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * What the decisions of one courier have learned, as another process of the same courier takes it
 * over. Figures are handed on as they are, and so are times, by the clock that both processes share
 * (0 and {@link Long#MAX_VALUE} stand for long ago and never). It only means something to a module
 * of the same {@link #VERSION}.
 *
 * @param classMeanUs the mean latency of each class, us, in the order of the settings
 * @param classSamples the samples that each of them rests on
 * @param trustedIdleUs how long idle connections are trusted, us
 * @param routes what was learned of routes
 * @param endpoints what was learned of endpoints
 */
public record LearnedState(
    double[] classMeanUs,
    int[] classSamples,
    double trustedIdleUs,
    List<LearnedRoute> routes,
    List<LearnedEndpoint> endpoints) {
  /** The version of the format; raised when what the figures mean changes. */
  public static final int VERSION = 3;

  /** What is older, us, is not worth trusting: destinations change within minutes. */
  public static final long MAX_AGE_US = 60_000_000;

  /** Time in which a learned window loses half of its value, us. */
  private static final double HALF_LIFE_US = 10_000_000;

  /** How far ahead backoffs may reach that this courier has set itself, us. */
  private static final long MAX_BACKOFF_AHEAD_US = 20_000_000;

  /** A run of faults short of an outage by one makes a route a failing one. */
  private static final double FAILING_FAULT_RUN = 2;

  /** A gap between two processes that is too short for an outage, us. */
  private static final long SHORT_GAP_US = 3_000_000;

  /** What was learned of a route, which is known by one of its endpoints. */
  public record LearnedRoute(long endpointId, double[] figures, long[] moments) {}

  /** What was learned of an endpoint. */
  public record LearnedEndpoint(long endpointId, double[] figures, long[] moments) {}

  /** Returns what is known of these endpoints and their routes, if anything was ever heard. */
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
   * Returns the same as a process takes it over that starts after another has died, with times on
   * the clock of {@code nowUs}. A learned window decays; a failing route is taken for one that
   * recovers, since it may have come back cold meanwhile; an open circuit stays open, and a
   * Retry-After stands.
   *
   * @param takenUs when it was saved
   */
  public LearnedState aged(final long takenUs, final long nowUs) {
    final List<LearnedRoute> agedRoutes =
        routes.stream().map(route -> aged(route, takenUs, nowUs)).toList();
    final List<LearnedEndpoint> agedEndpoints =
        endpoints.stream().map(endpoint -> aged(endpoint, nowUs)).toList();
    return new LearnedState(classMeanUs, classSamples, trustedIdleUs, agedRoutes, agedEndpoints);
  }

  private static LearnedRoute aged(final LearnedRoute route, final long takenUs, final long nowUs) {
    final double[] figures = route.figures.clone();
    final long[] moments = route.moments.clone();
    ageWindow(figures, nowUs - takenUs);
    agePermittedRate(figures, nowUs - moments[LearnedRouteFormat.LAST_STEP]);
    if (mayHaveComeBackCold(figures, nowUs - takenUs)) {
      beginRecovery(figures, moments, nowUs);
    }
    moments[LearnedRouteFormat.BACKOFF_UNTIL] =
        Math.min(moments[LearnedRouteFormat.BACKOFF_UNTIL], nowUs + MAX_BACKOFF_AHEAD_US);
    return new LearnedRoute(route.endpointId, figures, moments);
  }

  private static void ageWindow(final double[] figures, final long ageUs) {
    final double kept = Math.pow(0.5, Math.max(0, ageUs) / HALF_LIFE_US);
    final double window = figures[LearnedRouteFormat.WINDOW];
    // Knowing something is no reason to begin with less than a process that knows nothing.
    figures[LearnedRouteFormat.WINDOW] =
        Math.max(Math.min(ConcurrencyWindow.INITIAL, window), kept * window);
  }

  /** Grows the permitted rate for the steps that no process was there to take. */
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
      // A recovery goes on, unless there was time for another outage.
      case RECOVERING -> gapUs > SHORT_GAP_US;
    };
  }

  private static void beginRecovery(
      final double[] figures, final long[] moments, final long nowUs) {
    figures[LearnedRouteFormat.CIRCUIT_STATE] = CircuitState.RECOVERING.ordinal();
    moments[LearnedRouteFormat.RECOVERY_SINCE] = nowUs;
    // As far apart as its calls were, if it was never paced so far.
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

  /** Gives the endpoints that are known here, their routes and the classes what was learned. */
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
