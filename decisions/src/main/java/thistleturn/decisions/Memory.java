package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * What one courier's decisions have learnt, as another process of the same courier takes it over:
 * figures are to be handed on as they are, moments by the clock that both processes share (0 and
 * {@link Long#MAX_VALUE}, long ago and never, as they are). It only means something to a module of
 * the same {@link #VERSION}.
 *
 * @param classMeanUs mean service time of each class, us; in the order of the settings
 * @param classSamples what each of them rests on
 * @param trustUs how long idle connections are trusted, us
 * @param lanes destinations, or their routes
 * @param nodes endpoints
 */
public record Memory(
    double[] classMeanUs,
    int[] classSamples,
    double trustUs,
    List<OfLane> lanes,
    List<OfNode> nodes) {
  /** To be raised when what the figures mean changes. */
  public static final int VERSION = 3;

  /** What is older, us, is not worth trusting: destinations change within minutes. */
  public static final long MOST_AGE_US = 60_000_000;

  /**
   * Time in which a window that was learnt loses half of its worth, us; how far ahead guards of our
   * own may reach.
   */
  private static final double HALF_LIFE_US = 10_000_000;

  private static final long MOST_PAUSE_US = 20_000_000;

  /**
   * Failures in a row, short of an outage by one, that make a lane one in trouble; a gap too short
   * for an outage, us.
   */
  private static final double TROUBLE_RUN = 2;

  private static final long SHORT_US = 3_000_000;

  /** Places in a lane's figures and moments. */
  private static final int WINDOW = 0;

  private static final int PHASE = 12;
  private static final int BAD_RUN = 13;
  private static final int RAMP_SPAN = 15;
  static final int CALL_RATE = 4;
  static final int SPACING = 10;
  static final int REFUSED = 16;
  private static final int OF_READING = 17;
  private static final int PAUSE = 2;
  private static final int RAMP_FROM = 4;
  private static final int STEPPED = 6;

  /** A lane, known by one of its endpoints. */
  public record OfLane(long endpoint, double[] figures, long[] moments) {}

  /** An endpoint. */
  public record OfNode(long endpoint, double[] figures, long[] moments) {}

  /**
   * What is remembered of these, the last step at a moment; lanes of which nothing was ever heard
   * are left out.
   */
  static Memory of(
      final double[] classMeanUs,
      final int[] classSamples,
      final double trustUs,
      final long steppedUs,
      final Collection<Node> all) {
    final List<OfLane> lanes = new ArrayList<>();
    final List<OfNode> nodes = new ArrayList<>();
    for (final Node node : all) {
      final Lane lane = node.lane;
      if (lane.lastSendUs == 0 && lane.phase == Phase.WELL) {
        continue;
      }
      if (lane.nodes.get(0) == node) {
        lanes.add(new OfLane(node.entry.id(), figures(lane), moments(lane, steppedUs)));
      }
      nodes.add(new OfNode(node.entry.id(), figures(node), momentsOf(node)));
    }
    return new Memory(classMeanUs.clone(), classSamples.clone(), trustUs, lanes, nodes);
  }

  private static double[] figures(final Lane lane) {
    final double[] own = {
      lane.window,
      lane.steps,
      lane.paceSamples,
      lane.rate,
      lane.callsPerSecond(),
      lane.slowRatio,
      lane.pace,
      lane.stretch,
      lane.lastWeight,
      lane.told,
      lane.spacing,
      lane.slow ? 1 : 0,
      lane.phase.ordinal(),
      lane.badRun,
      lane.failShare,
      lane.rampSpanUs,
      lane.refused
    };
    final double[] read = lane.reading.learnedValues();
    final double[] all = Arrays.copyOf(own, own.length + read.length);
    System.arraycopy(read, 0, all, own.length, read.length);
    return all;
  }

  /** By class: failures in a row; then the longest of recent times and how many were seen. */
  private static double[] figures(final Node node) {
    final int classes = node.badRun.length;
    final double[] figures = Arrays.copyOf(node.badRun, 3 * classes);
    for (int kind = 0; kind < classes; kind++) {
      final double[] tail = node.cells[kind].learnedValues();
      figures[classes + 2 * kind] = tail[0];
      figures[classes + 2 * kind + 1] = tail[1];
    }
    return figures;
  }

  private static long[] moments(final Lane lane, final long steppedUs) {
    return new long[] {
      lane.troubleFromUs,
      lane.waitUntilUs,
      lane.pauseUntilUs,
      lane.nextTrialUs,
      lane.rampFromUs,
      lane.lastSendUs,
      steppedUs
    };
  }

  private static long[] momentsOf(final Node node) {
    final long[] moments = Arrays.copyOf(node.avoidUntilUs, node.avoidUntilUs.length + 2);
    moments[node.avoidUntilUs.length] = node.lastSendUs;
    moments[node.avoidUntilUs.length + 1] = node.lastServedUs;
    return moments;
  }

  /**
   * The same as a process takes it up that starts after another has died: moments are on the clock
   * of {@code nowUs}. What was learnt of a window fades; a lane in trouble is one that returns,
   * since it may have come back cold meanwhile; one that was out stays out. Waits that were told
   * stand.
   *
   * @param takenUs when it was put down
   */
  public Memory aged(final long takenUs, final long nowUs) {
    final double kept = Math.pow(0.5, Math.max(0, nowUs - takenUs) / HALF_LIFE_US);
    final List<OfLane> older = new ArrayList<>();
    for (final OfLane one : lanes) {
      final double[] figures = one.figures.clone();
      final long[] moments = one.moments.clone();
      // Knowing something is no reason to begin with less than one that knows nothing.
      figures[WINDOW] = Math.max(Math.min(Window.START, figures[WINDOW]), kept * figures[WINDOW]);
      // Steps that no process lived to take: a spacing that only ever came to the next one would
      // never end.
      final double steps = (nowUs - moments[STEPPED]) / (double) Control.SECOND_US;
      figures[SPACING] *= figures[REFUSED] > 0 ? 1 : Math.pow(Window.SPACING, Math.max(0, steps));
      final boolean trouble =
          figures[PHASE] == Phase.WELL.ordinal() && figures[BAD_RUN] >= TROUBLE_RUN;
      // A ramp that was under way goes on, unless there was time for another outage.
      final boolean again = figures[PHASE] == Phase.RAMP.ordinal() && nowUs - takenUs > SHORT_US;
      if (trouble || again) {
        figures[PHASE] = Phase.RAMP.ordinal();
        moments[RAMP_FROM] = nowUs;
        // As far apart as its calls were, if it was never paced so far.
        figures[RAMP_SPAN] =
            Math.max(
                figures[RAMP_SPAN],
                Math.min(
                    Control.SECOND_US / 2.0,
                    Control.SECOND_US / Math.max(Destination.LEAST_RATE, figures[CALL_RATE])));
      }
      moments[PAUSE] = Math.min(moments[PAUSE], nowUs + MOST_PAUSE_US);
      older.add(new OfLane(one.endpoint, figures, moments));
    }
    final List<OfNode> ends =
        nodes.stream()
            .map(
                one ->
                    new OfNode(
                        one.endpoint,
                        one.figures,
                        Arrays.stream(one.moments)
                            .map(us -> Math.min(us, nowUs + MOST_PAUSE_US))
                            .toArray()))
            .toList();
    return new Memory(classMeanUs, classSamples, trustUs, older, ends);
  }

  /**
   * Gives the endpoints that are known here, their lanes, and the classes what is remembered of
   * them; tells the trust.
   */
  double recall(
      final Map<Long, Node> known, final double[] meanUs, final int[] samples, final long nowUs) {
    System.arraycopy(classMeanUs, 0, meanUs, 0, meanUs.length);
    System.arraycopy(classSamples, 0, samples, 0, samples.length);
    for (final OfLane one : lanes) {
      if (known.containsKey(one.endpoint)) {
        recall(known.get(one.endpoint).lane, one.figures, one.moments, nowUs);
      }
    }
    for (final OfNode one : nodes) {
      final Node node = known.get(one.endpoint);
      if (node != null) {
        final int classes = node.badRun.length;
        System.arraycopy(one.figures, 0, node.badRun, 0, classes);
        for (int kind = 0; kind < classes; kind++) {
          node.cells[kind].restore(
              one.figures[classes + 2 * kind], one.figures[classes + 2 * kind + 1]);
        }
        System.arraycopy(one.moments, 0, node.avoidUntilUs, 0, node.avoidUntilUs.length);
        node.lastSendUs = one.moments[node.avoidUntilUs.length];
        node.lastServedUs = one.moments[node.avoidUntilUs.length + 1];
      }
    }
    return trustUs;
  }

  private static void recall(
      final Lane lane, final double[] figures, final long[] moments, final long nowUs) {
    lane.window = figures[0];
    lane.steps = figures[CALL_RATE] > 0 ? Math.max(1, (int) figures[1]) : (int) figures[1];
    lane.paceSamples = (int) figures[2];
    lane.rate = figures[3];
    lane.callRate = figures[4];
    lane.slowRatio = figures[5];
    lane.pace = figures[6];
    lane.stretch = figures[7];
    lane.lastWeight = figures[8];
    lane.told = figures[9];
    lane.toldBy = Lane.MEMORY;
    lane.spacing = figures[10];
    lane.slow = figures[11] > 0;
    lane.phase = Phase.values()[(int) figures[12]];
    lane.badRun = figures[13];
    lane.failShare = figures[14];
    lane.rampSpanUs = figures[15];
    lane.reading.restore(Arrays.copyOfRange(figures, OF_READING, figures.length), nowUs);
    lane.troubleFromUs = moments[0];
    lane.waitUntilUs = moments[1];
    lane.pauseUntilUs = moments[2];
    lane.nextTrialUs = moments[3];
    lane.rampFromUs = moments[4];
    lane.lastSendUs = moments[5];
  }
}
