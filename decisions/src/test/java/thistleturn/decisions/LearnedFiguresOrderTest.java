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
 * none may move while {@link Memory#VERSION} stays.
 */
@Tag("decisions")
final class LearnedFiguresOrderTest {
  private static final double[] LANE_FIGURES = {
    9, 10, 11, 12, 13, 1.5, 1.6, 1.7, 1.8, 19, 20, 1, 2, 23, 0.24, 25, 26, 2.5, 0.25, 1, 300_000
  };
  private static final long[] LANE_MOMENTS = {101, 102, 103, 104, 105, 106, 107};
  private static final double[] NODE_FIGURES = {3, 4, 5000, 60, 7000, 80};
  private static final long[] NODE_MOMENTS = {201, 202, 203, 204};

  private final State state =
      new State(Scene.settings(), 42, new Scene(Scene.settings()), true, true, true);
  private final Destination destination = new Destination(Scene.DEST);
  private final Lane lane = new Lane(destination, Scene.settings().kinds().get(0), state);
  private final Node node = new Node(Scene.endpoint(4, Scene.DEST, "a"), lane, 2);

  private Memory memory() {
    return new Memory(
        new double[] {1000, 2000},
        new int[] {7, 8},
        1e7,
        List.of(new Memory.OfLane(4, LANE_FIGURES, LANE_MOMENTS)),
        List.of(new Memory.OfNode(4, NODE_FIGURES, NODE_MOMENTS)));
  }

  @Test
  void figuresOfLaneAndNodeAreWrittenInThesePlaces() {
    lane.nodes.add(node);
    lane.window = 9;
    lane.steps = 10;
    lane.paceSamples = 11;
    lane.rate = 12;
    lane.callRate = 13;
    lane.slowRatio = 1.5;
    lane.pace = 1.6;
    lane.stretch = 1.7;
    lane.lastWeight = 1.8;
    lane.told = 19;
    lane.spacing = 20;
    lane.slow = true;
    lane.phase = Phase.RAMP;
    lane.badRun = 23;
    lane.failShare = 0.24;
    lane.rampSpanUs = 25;
    lane.refused = 26;
    lane.reading.restore(new double[] {2.5, 0.25, 1, 300_000}, 1);
    lane.troubleFromUs = 101;
    lane.waitUntilUs = 102;
    lane.pauseUntilUs = 103;
    lane.nextTrialUs = 104;
    lane.rampFromUs = 105;
    lane.lastSendUs = 106;
    node.badRun[0] = 3;
    node.badRun[1] = 4;
    node.cells[0].restore(5000, 60);
    node.cells[1].restore(7000, 80);
    node.avoidUntilUs[0] = 201;
    node.avoidUntilUs[1] = 202;
    node.lastSendUs = 203;
    node.lastServedUs = 204;

    final Memory written =
        Memory.of(new double[] {1000, 2000}, new int[] {7, 8}, 1e7, 107, List.of(node));
    assertArrayEquals(LANE_FIGURES, written.lanes().get(0).figures());
    assertArrayEquals(LANE_MOMENTS, written.lanes().get(0).moments());
    assertArrayEquals(NODE_FIGURES, written.nodes().get(0).figures());
    assertArrayEquals(NODE_MOMENTS, written.nodes().get(0).moments());
  }

  @Test
  void figuresOfLaneAndNodeAreReadFromThesePlaces() {
    lane.nodes.add(node);
    final double[] meanUs = new double[2];
    final int[] samples = new int[2];
    assertEquals(1e7, memory().recall(Map.of(4L, node), meanUs, samples, 1));
    assertArrayEquals(new double[] {1000, 2000}, meanUs);
    assertArrayEquals(new int[] {7, 8}, samples);
    assertEquals(9, lane.window);
    assertEquals(10, lane.steps);
    assertEquals(11, lane.paceSamples);
    assertEquals(12, lane.rate);
    assertEquals(13, lane.callRate);
    assertEquals(1.5, lane.slowRatio);
    assertEquals(1.6, lane.pace);
    assertEquals(1.7, lane.stretch);
    assertEquals(1.8, lane.lastWeight);
    assertEquals(19, lane.told);
    assertEquals(20, lane.spacing);
    assertTrue(lane.slow);
    assertEquals(Phase.RAMP, lane.phase);
    assertEquals(23, lane.badRun);
    assertEquals(0.24, lane.failShare);
    assertEquals(25, lane.rampSpanUs);
    assertArrayEquals(new double[] {2.5, 0.25, 1, 300_000}, lane.reading.learnedValues());
    assertEquals(101, lane.troubleFromUs);
    assertEquals(102, lane.waitUntilUs);
    assertEquals(103, lane.pauseUntilUs);
    assertEquals(104, lane.nextTrialUs);
    assertEquals(105, lane.rampFromUs);
    assertEquals(106, lane.lastSendUs);
    assertArrayEquals(new double[] {3, 4}, node.badRun);
    assertArrayEquals(new double[] {5000, 60}, node.cells[0].learnedValues());
    assertArrayEquals(new double[] {7000, 80}, node.cells[1].learnedValues());
    assertArrayEquals(new long[] {201, 202}, node.avoidUntilUs);
    assertEquals(203, node.lastSendUs);
    assertEquals(204, node.lastServedUs);
  }

  @Test
  void versionOfTheFiguresIsThree() {
    assertEquals(3, Memory.VERSION);
  }

  /** The phase is a number in learned state and a name in the operators' JSON. */
  @Test
  void phasesKeepTheirOrderAndNames() {
    assertEquals("[WELL, OUT, RAMP]", Arrays.toString(Phase.values()));
    assertEquals(
        List.of(0, 1, 2), List.of(Phase.WELL.ordinal(), Phase.OUT.ordinal(), Phase.RAMP.ordinal()));
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
