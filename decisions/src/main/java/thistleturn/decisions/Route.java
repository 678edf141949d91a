package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.fleet.FairShare;
import thistleturn.decisions.fleet.FleetSize;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.WeightMeaning;
import thistleturn.decisions.rejections.InitialWindowGrowth;
import thistleturn.decisions.rejections.RejectionClassifier;
import thistleturn.decisions.rejections.RetryBudget;

/** The unit of the window: a destination, or a route of it. */
final class Route {
  /**
   * Steps of an idle lane that are taken one by one; further ones at once, since little is left by
   * then.
   */
  private static final long MAX_SINGLE_STEPS = 200;

  /** Messages, the refused one too, that must wait for a call to be made only to learn. */
  private static final int MIN_WAITING_FOR_PROBE = 3;

  private static final int LONG_QUEUE = 10;

  /** A new lane's window in a large fleet, calls: clumps come first. */
  private static final double LARGE_FLEET_WINDOW = 4;

  /**
   * Who tells of a limit: the list by its weights, a partner with an answer, what an earlier
   * process knew.
   */
  static final String SOURCE_ENDPOINT_LIST = "list";

  static final String SOURCE_DESTINATION = "partner";
  static final String SOURCE_LEARNED_STATE = "memory";

  final Destination destination;
  final DestinationKind destinationKind;
  final List<EndpointHealth> endpoints = new ArrayList<>();
  final List<ReadyRoute> readyEntries = List.of(new ReadyRoute(this, 0), new ReadyRoute(this, 1));
  final RouteTimer recheckTimer = new RouteTimer(this), recoveryEndTimer = new RouteTimer(this);
  double window;

  /** What its refusals answer to, what may be tried again at once, its first seconds. */
  final RejectionClassifier rejectionClassifier = new RejectionClassifier();

  final RetryBudget retryBudget = new RetryBudget();
  final InitialWindowGrowth initialGrowth = new InitialWindowGrowth();

  /**
   * This courier's part of the rate told; never told of it in a fleet so small that it need not be
   * kept to.
   */
  final FairShare rateShare;

  /** One of so many that its part of a rate may be thin. */
  final boolean inVastFleet;

  private final int rateSharers;
  private final DeliverySettings settings;

  /**
   * Drawn once: an idle connection is kept where the share of the fleet that may keep one is above
   * it.
   */
  private final double idleConnectionDraw;

  /**
   * Calls in flight, those of them that are overdue, and of these those with no success on their
   * endpoint since.
   */
  int callsInFlight, overdueCalls, unresponsiveCalls;

  /** Calls served and refused in all. */
  long completedCalls, rejectedCalls;

  /** Of these, calls served before its first step: until then, all that is known of its rate. */
  int callsBeforeFirstStep;

  /** Until when the rate that it had before its last outage grows by a fifth a second only. */
  long cautiousUntilUs;

  /** When the first refusal came of those that are one sign. */
  long rejectionSignalUs;

  /** Window and spacing before its refusals were taken for noise. */
  double windowBeforeNoise, rateBeforeNoise;

  /** One call may go in spite of the pause, to learn what the refusal answered to. */
  boolean probeAllowed;

  boolean active;
  long stepsTaken, faultCheckTick, faultCheckUs;

  /** This step's counts and sum of latency ratios. */
  int stepPeakCalls, stepRejections, stepDeliveries;

  /** Of these, in calls. */
  double stepCalls, stepFailures, stepErrors;

  double stepLatencyRatioSum;
  LoadReport stepLoadReport;

  /**
   * Slow averages: steps seen, messages and calls served a second, step means, pace by other lanes.
   */
  int stepCount, latencySamples;

  double messageRate, callRate, baselineLatencyRatio = 1, latencyFactor = 1, timeoutMultiplier = 1;

  /** What the last call weighs on a cold destination. */
  double lastCallWeight = 1;

  /** The limit told (0: none), and the sends allowed now, a second. */
  double reportedLimit, permittedRate = Double.POSITIVE_INFINITY;

  /** Who told the limit last. */
  String limitSource = "";

  boolean degraded;
  CircuitState circuitState = CircuitState.WELL;
  double faultRun, failureRatio, recoveryIntervalUs;

  /** Since when nothing was served there; never, while all is well. */
  long faultSinceUs = OverloadController.NEVER;

  long retryAfterUntilUs, backoffUntilUs, nextTrialUs, recoverySinceUs, lastSendUs;

  Route(final Destination destination, final DestinationKind kind, final ControllerState state) {
    this.settings = state.settings;
    final boolean large = FleetSize.isLarge(settings.courierCount());
    final boolean sharing = large && state.sharesRates;
    this.destination = destination;
    this.destinationKind = kind;
    this.idleConnectionDraw = sharing ? state.random.nextDouble() : Double.POSITIVE_INFINITY;
    this.rateSharers =
        sharing && settings.weightMeaning() == WeightMeaning.NOMINAL ? settings.courierCount() : 0;
    this.inVastFleet = state.relaxesThinShares && FleetSize.isVast(settings.courierCount());
    this.rateShare = new FairShare(inVastFleet);
    this.window = large ? LARGE_FLEET_WINDOW : ConcurrencyWindow.INITIAL_WINDOW;
    this.stepsTaken = state.stepCount;
  }

  /**
   * The rate that it takes from all couriers is told, calls a second; the last word on it counts,
   * whoever says it.
   */
  void setReportedLimit(final double ratePerSecond, final String by, final long nowUs) {
    reportedLimit = ratePerSecond;
    limitSource = by;
    rateShare.setEvenRate(rateSharers == 0 ? 0 : reportedLimit / rateSharers, nowUs);
  }

  /**
   * True if this courier is one of those that keep a connection of this lane open, and it is this
   * endpoint's. In a vast fleet none does: a kept one is hardly used again, and those in use want
   * the room.
   */
  boolean mayKeepIdleConnection(final EndpointHealth node) {
    return !inVastFleet
        && idleConnectionDraw
            < FleetSize.idleConnectionShare(endpoints.size(), settings.courierCount())
        && node.connections == 1
        && endpoints.stream()
            .allMatch(
                other ->
                    other == node
                        || (isInLocalZone(node) == isInLocalZone(other)
                            ? other.connections == 0
                            : isInLocalZone(node)));
  }

  /** True for an endpoint in this courier's own zone. */
  boolean isInLocalZone(final EndpointHealth node) {
    return node.descriptor.zone().equals(settings.zone());
  }

  /**
   * When its rate lets the next call go: so many a second at most, and this courier's part of what
   * is told.
   */
  long nextPacedSendUs(final double ratePerSecond, final long atUs) {
    return rateShare.isLimited()
        ? rateShare.earliestCallUs(atUs)
        : lastSendUs + (long) (OverloadController.SECOND_US / ratePerSecond);
  }

  /**
   * Its pause; one call may go sooner, to learn, where more waits than one refusal more would cost.
   */
  long effectiveBackoffUntilUs() {
    return probeAllowed && destination.waitingMessages >= MIN_WAITING_FOR_PROBE
        ? Math.min(backoffUntilUs, rejectionClassifier.nextProbeUs())
        : backoffUntilUs;
  }

  /** True if the call that goes now does so to learn. */
  boolean tryTakeProbe(final long nowUs) {
    if (backoffUntilUs <= nowUs) {
      return false;
    }
    probeAllowed = false;
    return true;
  }

  /** A call was served whole: what that says of its refusals. */
  void recordCompletedCall(final InFlightCall call, final long nowUs) {
    completedCalls++;
    callsBeforeFirstStep += stepCount == 0 && circuitState == CircuitState.WELL ? 1 : 0;
    rejectionClassifier.recordServed(call.sentUs, nowUs);
    retryBudget.recordServed();
    if (call.probe) {
      rejectionClassifier.recordProbe(true, nowUs);
      backoffUntilUs = nowUs;
    }
    if (rejectionClassifier.hasJustSettledOnNoise()) {
      treatRejectionsAsNoise(nowUs);
    }
  }

  /** There was room: the pause was for nothing, and so was all else that refusals brought. */
  private void treatRejectionsAsNoise(final long nowUs) {
    windowBeforeNoise = window;
    rateBeforeNoise = permittedRate;
    backoffUntilUs = nowUs;
    permittedRate = nowUs < cautiousUntilUs ? permittedRate : Double.POSITIVE_INFINITY;
    initialGrowth.restart();
  }

  /**
   * True for the refusal of a call that was sent before the last refusal came: it says the same as
   * that one.
   */
  boolean isSameRejectionSignal(final long sentUs, final long nowUs) {
    final boolean same = sentUs < rejectionSignalUs;
    rejectionSignalUs = same ? rejectionSignalUs : nowUs;
    return same;
  }

  /**
   * It has returned from an outage, and is surely warm: what its refusals answered to is past. All
   * that waited meanwhile does not go at once: that could still push it over.
   */
  void completeRecovery(final long pacedUntilUs) {
    cautiousUntilUs = pacedUntilUs;
    rejectionClassifier.reset();
    permittedRate = ConcurrencyWindow.RATE_GROWTH * Math.max(1, callsPerSecond());
    initialGrowth.restart();
  }

  /**
   * This courier had no way out from a moment on, and has one again: if it is out for what came
   * after that, it is as it was before, at the rate that it had, since all that waited meanwhile
   * shall not go at once.
   *
   * @return whether it was out for that
   */
  boolean undoFaultsSince(final long sinceUs, final long nowUs) {
    if (circuitState != CircuitState.OUT || faultSinceUs < sinceUs) {
      return false;
    }
    circuitState = CircuitState.WELL;
    faultRun = failureRatio = 0;
    faultSinceUs = OverloadController.NEVER;
    backoffUntilUs = nowUs;
    window = Math.max(window, ConcurrencyWindow.INITIAL_WINDOW);
    permittedRate = ConcurrencyWindow.RATE_GROWTH * Math.max(1, callsPerSecond());
    endpoints.forEach(node -> node.clearFaults(nowUs));
    return true;
  }

  /**
   * Calls served a second, by what is known for certain: this step's so far, and what was served
   * before the first one.
   */
  double callsPerSecond() {
    return Math.max(callRate, Math.max(stepCalls, stepCount == 0 ? callsBeforeFirstStep : 0));
  }

  /** It was load after all: back to what was known before. */
  void treatRejectionsAsLoad(final long nowUs) {
    rejectionClassifier.onRetryBudgetExhausted(nowUs);
    window = Math.min(window, windowBeforeNoise);
    permittedRate = Math.min(permittedRate, rateBeforeNoise);
  }

  /**
   * True where a long line waits after a step without a refusal, and no outage is so near that it
   * might be tipped.
   */
  boolean mayRegainRate(final long nowUs) {
    return stepRejections == 0
        && destination.waitingMessages >= LONG_QUEUE
        && nowUs >= cautiousUntilUs;
  }

  /** What is counted within a step begins anew. */
  void beginStep() {
    stepPeakCalls = callsInFlight;
    stepLatencyRatioSum = stepRejections = stepDeliveries = 0;
    stepCalls = stepFailures = stepErrors = 0;
    stepLoadReport = null;
  }

  /**
   * Makes up for the steps that it was idle for: nothing was served, and nothing stood in the way.
   */
  void catchUpIdleSteps(final long stepsNow) {
    final long missed = stepsNow - stepsTaken;
    stepsTaken = stepsNow;
    for (long step = 0; step < Math.min(missed, MAX_SINGLE_STEPS); step++) {
      applyIdleSteps(1);
    }
    if (missed > MAX_SINGLE_STEPS) {
      applyIdleSteps(missed - MAX_SINGLE_STEPS);
    }
    stepPeakCalls = missed > 0 ? callsInFlight : stepPeakCalls;
  }

  private void applyIdleSteps(final long count) {
    if (circuitState == CircuitState.WELL) {
      stepCount = (int) (stepCount + count);
      final double weight = Math.max(ConcurrencyWindow.SAMPLE_WEIGHT, 1.0 / stepCount);
      messageRate = count == 1 ? messageRate + weight * (0 - messageRate) : 0;
      callRate = count == 1 ? callRate + weight * (0 - callRate) : 0;
    }
    permittedRate =
        count == 1 ? ConcurrencyWindow.RATE_GROWTH * permittedRate : Double.POSITIVE_INFINITY;
  }
}
