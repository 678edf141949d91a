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
 * The places of figures and moments in what a courier hands to its next process and writes to its
 * file of learned state, and the names that operators see. Another version reads them by place, so
 * none may move while {@link LearnedState#VERSION} stays.
 */
@Tag("decisions")
final class LearnedFiguresOrderTest {
  private static final double[] LANE_FIGURES = {
    9, 10, 11, 12, 13, 1.5, 1.6, 1.7, 1.8, 19, 20, 1, 2, 23, 0.24, 25, 26, 2.5, 0.25, 1, 300_000
  };
  private static final long[] LANE_MOMENTS = {101, 102, 103, 104, 105, 106, 107};
  private static final double[] NODE_FIGURES = {3, 4, 5000, 60, 7000, 80};
  private static final long[] NODE_MOMENTS = {201, 202, 203, 204};

  private final ControllerState state =
      new ControllerState(
          ScriptedController.settings(),
          42,
          new ScriptedController(ScriptedController.settings()),
          true,
          true,
          true);
  private final Destination destination = new Destination(ScriptedController.DESTINATION);
  private final Route lane =
      new Route(destination, ScriptedController.settings().kinds().get(0), state);
  private final EndpointHealth node =
      new EndpointHealth(
          ScriptedController.endpoint(4, ScriptedController.DESTINATION, "a"), lane, 2);

  private LearnedState memory() {
    return new LearnedState(
        new double[] {1000, 2000},
        new int[] {7, 8},
        1e7,
        List.of(new LearnedState.LearnedRoute(4, LANE_FIGURES, LANE_MOMENTS)),
        List.of(new LearnedState.LearnedEndpoint(4, NODE_FIGURES, NODE_MOMENTS)));
  }

  @Test
  void figuresOfLaneAndNodeAreWrittenInThesePlaces() {
    lane.endpoints.add(node);
    lane.window = 9;
    lane.stepCount = 10;
    lane.latencySamples = 11;
    lane.messageRate = 12;
    lane.callRate = 13;
    lane.baselineLatencyRatio = 1.5;
    lane.latencyFactor = 1.6;
    lane.timeoutMultiplier = 1.7;
    lane.lastCallWeight = 1.8;
    lane.reportedLimit = 19;
    lane.permittedRate = 20;
    lane.degraded = true;
    lane.circuitState = CircuitState.RAMP;
    lane.faultRun = 23;
    lane.failureRatio = 0.24;
    lane.recoveryIntervalUs = 25;
    lane.stepRejections = 26;
    lane.rejectionClassifier.restore(new double[] {2.5, 0.25, 1, 300_000}, 1);
    lane.faultSinceUs = 101;
    lane.retryAfterUntilUs = 102;
    lane.backoffUntilUs = 103;
    lane.nextTrialUs = 104;
    lane.recoverySinceUs = 105;
    lane.lastSendUs = 106;
    node.failureRuns[0] = 3;
    node.failureRuns[1] = 4;
    node.classStatistics[0].restore(5000, 60);
    node.classStatistics[1].restore(7000, 80);
    node.avoidUntilUs[0] = 201;
    node.avoidUntilUs[1] = 202;
    node.lastSendUs = 203;
    node.lastSuccessUs = 204;

    final LearnedState written =
        LearnedState.of(new double[] {1000, 2000}, new int[] {7, 8}, 1e7, 107, List.of(node));
    assertArrayEquals(LANE_FIGURES, written.routes().get(0).figures());
    assertArrayEquals(LANE_MOMENTS, written.routes().get(0).moments());
    assertArrayEquals(NODE_FIGURES, written.endpoints().get(0).figures());
    assertArrayEquals(NODE_MOMENTS, written.endpoints().get(0).moments());
  }

  @Test
  void figuresOfLaneAndNodeAreReadFromThesePlaces() {
    lane.endpoints.add(node);
    final double[] meanUs = new double[2];
    final int[] samples = new int[2];
    assertEquals(1e7, memory().restore(Map.of(4L, node), meanUs, samples, 1));
    assertArrayEquals(new double[] {1000, 2000}, meanUs);
    assertArrayEquals(new int[] {7, 8}, samples);
    assertEquals(9, lane.window);
    assertEquals(10, lane.stepCount);
    assertEquals(11, lane.latencySamples);
    assertEquals(12, lane.messageRate);
    assertEquals(13, lane.callRate);
    assertEquals(1.5, lane.baselineLatencyRatio);
    assertEquals(1.6, lane.latencyFactor);
    assertEquals(1.7, lane.timeoutMultiplier);
    assertEquals(1.8, lane.lastCallWeight);
    assertEquals(19, lane.reportedLimit);
    assertEquals(20, lane.permittedRate);
    assertTrue(lane.degraded);
    assertEquals(CircuitState.RAMP, lane.circuitState);
    assertEquals(23, lane.faultRun);
    assertEquals(0.24, lane.failureRatio);
    assertEquals(25, lane.recoveryIntervalUs);
    assertArrayEquals(
        new double[] {2.5, 0.25, 1, 300_000}, lane.rejectionClassifier.learnedValues());
    assertEquals(101, lane.faultSinceUs);
    assertEquals(102, lane.retryAfterUntilUs);
    assertEquals(103, lane.backoffUntilUs);
    assertEquals(104, lane.nextTrialUs);
    assertEquals(105, lane.recoverySinceUs);
    assertEquals(106, lane.lastSendUs);
    assertArrayEquals(new double[] {3, 4}, node.failureRuns);
    assertArrayEquals(new double[] {5000, 60}, node.classStatistics[0].learnedValues());
    assertArrayEquals(new double[] {7000, 80}, node.classStatistics[1].learnedValues());
    assertArrayEquals(new long[] {201, 202}, node.avoidUntilUs);
    assertEquals(203, node.lastSendUs);
    assertEquals(204, node.lastSuccessUs);
  }

  @Test
  void versionOfTheFiguresIsThree() {
    assertEquals(3, LearnedState.VERSION);
  }

  /** The phase is a number in learned state and a name in the operators' JSON. */
  @Test
  void phasesKeepTheirOrderAndNames() {
    assertEquals("[WELL, OUT, RAMP]", Arrays.toString(CircuitState.values()));
    assertEquals(
        List.of(0, 1, 2),
        List.of(
            CircuitState.WELL.ordinal(), CircuitState.OUT.ordinal(), CircuitState.RAMP.ordinal()));
  }

  /** The operators' JSON of lanes holds these names, the latter in lower case. */
  @Test
  void causesOfRefusalsAndKindsOfWordsHaveTheseNames() {
    assertEquals("[UNSURE, LOAD, NOISE]", Arrays.toString(RejectionClassifier.Cause.values()));
    assertEquals(
        "[LIMIT, RATE, CEILING, EXCLUSION, WAIT, OUTAGE, RETURN, WEIGHT]",
        Arrays.toString(Directive.Kind.values()));
  }
}
