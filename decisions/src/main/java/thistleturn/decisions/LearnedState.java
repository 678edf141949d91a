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
 * @param trustedIdleUs how long idle connections are trusted, us
 * @param routes destinations, or their routes
 * @param endpoints endpoints
 */
public record LearnedState(
    double[] classMeanUs,
    int[] classSamples,
    double trustedIdleUs,
    List<LearnedRoute> routes,
    List<LearnedEndpoint> endpoints) {
  /** To be raised when what the figures mean changes. */
  public static final int VERSION = 3;

  /** What is older, us, is not worth trusting: destinations change within minutes. */
  public static final long MAX_AGE_US = 60_000_000;

  /**
   * Time in which a window that was learnt loses half of its worth, us; how far ahead guards of our
   * own may reach.
   */
  private static final double HALF_LIFE_US = 10_000_000;

  private static final long MAX_BACKOFF_AHEAD_US = 20_000_000;

  /**
   * Failures in a row, short of an outage by one, that make a lane one in trouble; a gap too short
   * for an outage, us.
   */
  private static final double FAULT_RUN = 2;

  private static final long SHORT_GAP_US = 3_000_000;

  /** Places in a lane's figures and moments. */
  private static final int WINDOW = 0;

  private static final int CIRCUIT_STATE = 12;
  private static final int FAULT_RUN_PLACE = 13;
  private static final int RECOVERY_INTERVAL = 15;
  static final int CALL_RATE = 4;
  static final int PERMITTED_RATE = 10;
  static final int STEP_REJECTIONS = 16;
  private static final int REJECTION_CLASSIFIER = 17;
  private static final int BACKOFF_UNTIL = 2;
  private static final int RECOVERY_SINCE = 4;
  private static final int LAST_STEP = 6;

  /** A lane, known by one of its endpoints. */
  public record LearnedRoute(long endpointId, double[] figures, long[] moments) {}

  /** An endpoint. */
  public record LearnedEndpoint(long endpointId, double[] figures, long[] moments) {}

  /**
   * What is remembered of these, the last step at a moment; lanes of which nothing was ever heard
   * are left out.
   */
  static LearnedState of(
      final double[] classMeanUs,
      final int[] classSamples,
      final double trustUs,
      final long steppedUs,
      final Collection<EndpointHealth> all) {
    final List<LearnedRoute> lanes = new ArrayList<>();
    final List<LearnedEndpoint> nodes = new ArrayList<>();
    for (final EndpointHealth node : all) {
      final Route lane = node.route;
      if (lane.lastSendUs == 0 && lane.circuitState == CircuitState.WELL) {
        continue;
      }
      if (lane.endpoints.get(0) == node) {
        lanes.add(new LearnedRoute(node.descriptor.id(), figures(lane), moments(lane, steppedUs)));
      }
      nodes.add(new LearnedEndpoint(node.descriptor.id(), figures(node), momentsOf(node)));
    }
    return new LearnedState(classMeanUs.clone(), classSamples.clone(), trustUs, lanes, nodes);
  }

  private static double[] figures(final Route lane) {
    final double[] own = {
      lane.window,
      lane.stepCount,
      lane.latencySamples,
      lane.messageRate,
      lane.callsPerSecond(),
      lane.baselineLatencyRatio,
      lane.latencyFactor,
      lane.timeoutMultiplier,
      lane.lastCallWeight,
      lane.reportedLimit,
      lane.permittedRate,
      lane.degraded ? 1 : 0,
      lane.circuitState.ordinal(),
      lane.faultRun,
      lane.failureRatio,
      lane.recoveryIntervalUs,
      lane.stepRejections
    };
    final double[] read = lane.rejectionClassifier.learnedValues();
    final double[] all = Arrays.copyOf(own, own.length + read.length);
    System.arraycopy(read, 0, all, own.length, read.length);
    return all;
  }

  /** By class: failures in a row; then the longest of recent times and how many were seen. */
  private static double[] figures(final EndpointHealth node) {
    final int classes = node.failureRuns.length;
    final double[] figures = Arrays.copyOf(node.failureRuns, 3 * classes);
    for (int kind = 0; kind < classes; kind++) {
      final double[] tail = node.classStatistics[kind].learnedValues();
      figures[classes + 2 * kind] = tail[0];
      figures[classes + 2 * kind + 1] = tail[1];
    }
    return figures;
  }

  private static long[] moments(final Route lane, final long steppedUs) {
    return new long[] {
      lane.faultSinceUs,
      lane.retryAfterUntilUs,
      lane.backoffUntilUs,
      lane.nextTrialUs,
      lane.recoverySinceUs,
      lane.lastSendUs,
      steppedUs
    };
  }

  private static long[] momentsOf(final EndpointHealth node) {
    final long[] moments = Arrays.copyOf(node.avoidUntilUs, node.avoidUntilUs.length + 2);
    moments[node.avoidUntilUs.length] = node.lastSendUs;
    moments[node.avoidUntilUs.length + 1] = node.lastSuccessUs;
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
  public LearnedState aged(final long takenUs, final long nowUs) {
    final double kept = Math.pow(0.5, Math.max(0, nowUs - takenUs) / HALF_LIFE_US);
    final List<LearnedRoute> older = new ArrayList<>();
    for (final LearnedRoute one : routes) {
      final double[] figures = one.figures.clone();
      final long[] moments = one.moments.clone();
      // Knowing something is no reason to begin with less than one that knows nothing.
      figures[WINDOW] =
          Math.max(
              Math.min(ConcurrencyWindow.INITIAL_WINDOW, figures[WINDOW]), kept * figures[WINDOW]);
      // Steps that no process lived to take: a spacing that only ever came to the next one would
      // never end.
      final double steps = (nowUs - moments[LAST_STEP]) / (double) OverloadController.SECOND_US;
      figures[PERMITTED_RATE] *=
          figures[STEP_REJECTIONS] > 0
              ? 1
              : Math.pow(ConcurrencyWindow.RATE_GROWTH, Math.max(0, steps));
      final boolean trouble =
          figures[CIRCUIT_STATE] == CircuitState.WELL.ordinal()
              && figures[FAULT_RUN_PLACE] >= FAULT_RUN;
      // A ramp that was under way goes on, unless there was time for another outage.
      final boolean again =
          figures[CIRCUIT_STATE] == CircuitState.RAMP.ordinal() && nowUs - takenUs > SHORT_GAP_US;
      if (trouble || again) {
        figures[CIRCUIT_STATE] = CircuitState.RAMP.ordinal();
        moments[RECOVERY_SINCE] = nowUs;
        // As far apart as its calls were, if it was never paced so far.
        figures[RECOVERY_INTERVAL] =
            Math.max(
                figures[RECOVERY_INTERVAL],
                Math.min(
                    OverloadController.SECOND_US / 2.0,
                    OverloadController.SECOND_US
                        / Math.max(Destination.MIN_RATE, figures[CALL_RATE])));
      }
      moments[BACKOFF_UNTIL] = Math.min(moments[BACKOFF_UNTIL], nowUs + MAX_BACKOFF_AHEAD_US);
      older.add(new LearnedRoute(one.endpointId, figures, moments));
    }
    final List<LearnedEndpoint> ends =
        endpoints.stream()
            .map(
                one ->
                    new LearnedEndpoint(
                        one.endpointId,
                        one.figures,
                        Arrays.stream(one.moments)
                            .map(us -> Math.min(us, nowUs + MAX_BACKOFF_AHEAD_US))
                            .toArray()))
            .toList();
    return new LearnedState(classMeanUs, classSamples, trustedIdleUs, older, ends);
  }

  /**
   * Gives the endpoints that are known here, their lanes, and the classes what is remembered of
   * them; tells the trust.
   */
  double restore(
      final Map<Long, EndpointHealth> known,
      final double[] meanUs,
      final int[] samples,
      final long nowUs) {
    System.arraycopy(classMeanUs, 0, meanUs, 0, meanUs.length);
    System.arraycopy(classSamples, 0, samples, 0, samples.length);
    for (final LearnedRoute one : routes) {
      if (known.containsKey(one.endpointId)) {
        restore(known.get(one.endpointId).route, one.figures, one.moments, nowUs);
      }
    }
    for (final LearnedEndpoint one : endpoints) {
      final EndpointHealth node = known.get(one.endpointId);
      if (node != null) {
        final int classes = node.failureRuns.length;
        System.arraycopy(one.figures, 0, node.failureRuns, 0, classes);
        for (int kind = 0; kind < classes; kind++) {
          node.classStatistics[kind].restore(
              one.figures[classes + 2 * kind], one.figures[classes + 2 * kind + 1]);
        }
        System.arraycopy(one.moments, 0, node.avoidUntilUs, 0, node.avoidUntilUs.length);
        node.lastSendUs = one.moments[node.avoidUntilUs.length];
        node.lastSuccessUs = one.moments[node.avoidUntilUs.length + 1];
      }
    }
    return trustedIdleUs;
  }

  private static void restore(
      final Route lane, final double[] figures, final long[] moments, final long nowUs) {
    lane.window = figures[0];
    lane.stepCount = figures[CALL_RATE] > 0 ? Math.max(1, (int) figures[1]) : (int) figures[1];
    lane.latencySamples = (int) figures[2];
    lane.messageRate = figures[3];
    lane.callRate = figures[4];
    lane.baselineLatencyRatio = figures[5];
    lane.latencyFactor = figures[6];
    lane.timeoutMultiplier = figures[7];
    lane.lastCallWeight = figures[8];
    lane.reportedLimit = figures[9];
    lane.limitSource = Route.SOURCE_LEARNED_STATE;
    lane.permittedRate = figures[10];
    lane.degraded = figures[11] > 0;
    lane.circuitState = CircuitState.values()[(int) figures[12]];
    lane.faultRun = figures[13];
    lane.failureRatio = figures[14];
    lane.recoveryIntervalUs = figures[15];
    lane.rejectionClassifier.restore(
        Arrays.copyOfRange(figures, REJECTION_CLASSIFIER, figures.length), nowUs);
    lane.faultSinceUs = moments[0];
    lane.retryAfterUntilUs = moments[1];
    lane.backoffUntilUs = moments[2];
    lane.nextTrialUs = moments[3];
    lane.recoverySinceUs = moments[4];
    lane.lastSendUs = moments[5];
  }
}
