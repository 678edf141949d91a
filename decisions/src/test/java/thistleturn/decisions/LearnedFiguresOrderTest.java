package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.rejections.RejectionClassifier;

/**
 * Pins the positions of figures and moments in the learned state that a courier passes to its
 * successor and writes to its file, and the names that operators see. Other versions read the
 * figures by position, so none may move unless {@link LearnedState#VERSION} changes.
 */
@Tag("decisions")
final class LearnedFiguresOrderTest {
  private static final double[] ROUTE_FIGURES = {
    9, 10, 11, 12, 13, 1.5, 1.6, 1.7, 1.8, 19, 20, 1, 2, 23, 0.24, 25, 26, 2.5, 0.25, 1, 300_000
  };
  private static final long[] ROUTE_MOMENTS = {101, 102, 103, 104, 105, 106, 107};
  private static final double[] ENDPOINT_FIGURES = {3, 4, 5000, 60, 7000, 80};
  private static final long[] ENDPOINT_MOMENTS = {201, 202, 203, 204};

  private final ControllerState state =
      new ControllerState(
          ScriptedController.settings(),
          42,
          new ScriptedController(ScriptedController.settings()),
          true,
          true,
          true);
  private final Destination destination = new Destination(ScriptedController.DESTINATION);
  private final Route route =
      new Route(destination, ScriptedController.settings().kinds().get(0), state);
  private final EndpointHealth endpoint =
      new EndpointHealth(
          ScriptedController.endpoint(4, ScriptedController.DESTINATION, "a"), route, 2);

  /** The first two classes of the settings are those of the figures. */
  private final LatencyEstimator latencies =
      new LatencyEstimator(ScriptedController.settings().classes().subList(0, 2));

  private LearnedState learnedState() {
    return new LearnedState(
        new double[] {1000, 2000},
        new int[] {7, 8},
        1e7,
        List.of(new LearnedState.LearnedRoute(4, ROUTE_FIGURES, ROUTE_MOMENTS)),
        List.of(new LearnedState.LearnedEndpoint(4, ENDPOINT_FIGURES, ENDPOINT_MOMENTS)));
  }

  @Test
  void learnedFigures_areWrittenAtTheirPositions() {
    route.endpoints().add(endpoint);
    route.window().restore(9);
    route.serviceRate().restore(10, 12, 13);
    route.latency().restore(11, 1.5, 1.6, 1.7);
    route.pacing().restoreRates(1.8, 19, 20);
    route.setDegraded(true);
    route.circuit().restore(CircuitState.RECOVERING, 23, 0.24, 25);
    for (int rejection = 0; rejection < 26; rejection++) {
      route.step().recordRejection(1);
    }
    route.rejections().classifier().restore(new double[] {2.5, 0.25, 1, 300_000}, 1);
    route.circuit().restoreTimes(101, 104, 105);
    route.pacing().restoreTimes(102, 103, 106);
    endpoint.restore(new double[] {3, 4}, new long[] {201, 202}, 203, 204);
    endpoint.classStatistics(0).restore(5000, 60);
    endpoint.classStatistics(1).restore(7000, 80);
    latencies.restore(new double[] {1000, 2000}, new int[] {7, 8});

    final LearnedState written = LearnedState.of(latencies, 1e7, 107, List.of(endpoint));
    assertArrayEquals(new double[] {1000, 2000}, written.classMeanUs());
    assertArrayEquals(new int[] {7, 8}, written.classSamples());
    assertEquals(1e7, written.trustedIdleUs());
    assertArrayEquals(ROUTE_FIGURES, written.routes().get(0).figures());
    assertArrayEquals(ROUTE_MOMENTS, written.routes().get(0).moments());
    assertArrayEquals(ENDPOINT_FIGURES, written.endpoints().get(0).figures());
    assertArrayEquals(ENDPOINT_MOMENTS, written.endpoints().get(0).moments());
  }

  @Test
  void learnedFigures_areReadFromTheirPositions() {
    route.endpoints().add(endpoint);
    learnedState().restore(Map.of(4L, endpoint), latencies, 1);
    assertEquals(1e7, learnedState().trustedIdleUs());
    assertArrayEquals(new double[] {1000, 2000}, latencies.means());
    assertArrayEquals(new int[] {7, 8}, latencies.sampleCounts());
    assertEquals(9, route.window().calls());
    assertEquals(10, route.serviceRate().steps());
    assertEquals(11, route.latency().factorSamples());
    assertEquals(12, route.serviceRate().messagesPerSecond());
    assertEquals(13, route.serviceRate().averageCallsPerSecond());
    assertEquals(1.5, route.latency().baselineRatio());
    assertEquals(1.6, route.latency().factor());
    assertEquals(1.7, route.latency().timeoutMultiplier());
    assertEquals(1.8, route.pacing().lastCallWeight());
    assertEquals(19, route.pacing().reportedLimit());
    assertEquals(20, route.pacing().permittedRate());
    assertTrue(route.isDegraded());
    assertEquals(CircuitState.RECOVERING, route.circuit().state());
    assertEquals(23, route.circuit().faultRun());
    assertEquals(0.24, route.circuit().failureRatio());
    assertEquals(25, route.circuit().recoveryIntervalUs());
    assertArrayEquals(
        new double[] {2.5, 0.25, 1, 300_000}, route.rejections().classifier().learnedValues());
    assertEquals(101, route.circuit().faultSinceUs());
    assertEquals(102, route.pacing().retryAfterUntilUs());
    assertEquals(103, route.pacing().backoffUntilUs());
    assertEquals(104, route.circuit().nextTrialUs());
    assertEquals(105, route.circuit().recoverySinceUs());
    assertEquals(106, route.pacing().lastSendUs());
    assertArrayEquals(new double[] {3, 4}, endpoint.failureRuns());
    assertArrayEquals(new double[] {5000, 60}, endpoint.classStatistics(0).learnedValues());
    assertArrayEquals(new double[] {7000, 80}, endpoint.classStatistics(1).learnedValues());
    assertArrayEquals(new long[] {201, 202}, endpoint.avoidUntilUs());
    assertEquals(203, endpoint.lastSendUs());
    assertEquals(204, endpoint.lastSuccessUs());
  }

  @Test
  void version_isThree() {
    assertEquals(3, LearnedState.VERSION);
  }

  /** The circuit state is a number in learned state and a name in the operators' JSON. */
  @Test
  void circuitStates_keepTheirOrderAndReportedNames() {
    assertEquals(
        "[WELL, OUT, RAMP]",
        Arrays.stream(CircuitState.values()).map(CircuitState::reportedName).toList().toString());
    assertEquals(
        List.of(0, 1, 2),
        List.of(
            CircuitState.CLOSED.ordinal(),
            CircuitState.OPEN.ordinal(),
            CircuitState.RECOVERING.ordinal()));
  }

  /** The operators' JSON of routes holds these names, those of directive kinds in lower case. */
  @Test
  void rejectionCausesAndDirectiveKinds_keepTheirNames() {
    assertEquals("[UNSURE, LOAD, NOISE]", Arrays.toString(RejectionClassifier.Cause.values()));
    assertEquals(
        "[LIMIT, RATE, CEILING, EXCLUSION, WAIT, OUTAGE, RETURN, WEIGHT]",
        Arrays.toString(Directive.Kind.values()));
  }
}
