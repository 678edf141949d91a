package thistleturn.decisions;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.fleet.FairShare;
import thistleturn.decisions.fleet.FleetSize;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.WeightMeaning;

/**
 * A route to a destination: the unit that has its own concurrency window, pacing and circuit
 * breaker. A destination has one route, unless its kind keeps routes separate.
 *
 * <p>The route owns its parts, each of which changes only its own state, and the counts of its
 * calls. Some calls in flight are overdue, and some overdue calls are unresponsive: no call to
 * their endpoint has succeeded since they were sent.
 */
final class Route {
  /** Up to this many idle steps are taken one by one; after more, the averages are set to zero. */
  private static final long MAX_SINGLE_STEPS = 201;

  /**
   * Messages, including the rejected one, that must wait for a probe to be worth another rejection.
   */
  private static final int MIN_WAITING_FOR_PROBE = 3;

  /** Number of waiting messages from which a queue is long. */
  private static final int LONG_QUEUE = 10;

  private final Destination destination;
  private final DestinationKind kind;
  private final DeliverySettings settings;
  private final List<EndpointHealth> endpoints = new ArrayList<>();
  private final ReadyRoute entryByUrgency = new ReadyRoute(this, false);
  private final ReadyRoute entryByUrgencyPerCallTime = new ReadyRoute(this, true);
  private final RouteTimer recheckTimer = new RouteTimer(this);
  private final RouteTimer recoveryEndTimer = new RouteTimer(this);

  private final CircuitBreaker circuit = new CircuitBreaker();
  private final ConcurrencyWindow window;
  private final SendPacing pacing;
  private final StepStatistics step = new StepStatistics();
  private final ServiceRate serviceRate = new ServiceRate();
  private final LatencyProfile latency = new LatencyProfile();
  private final RejectionHistory rejections = new RejectionHistory();

  /** Whether the fleet is so large that this courier's share of a rate may be very small. */
  private final boolean inVastFleet;

  /**
   * Drawn once: this courier may keep an idle connection while the share of couriers that may is
   * above it.
   */
  private final double idleConnectionDraw;

  private int callsInFlight;
  private int overdueCalls;
  private int unresponsiveCalls;

  /** Whether the last step with calls had high latency or many failures. */
  private boolean degraded;

  private boolean active;
  private long stepsTaken;
  private long faultCheckTick;
  private long faultCheckUs;

  Route(final Destination destination, final DestinationKind kind, final ControllerState state) {
    this.settings = state.settings;
    this.destination = destination;
    this.kind = kind;
    final boolean largeFleet = FleetSize.isLarge(settings.courierCount());
    final boolean sharing = largeFleet && state.sharesRates;
    this.idleConnectionDraw = sharing ? state.random.nextDouble() : Double.POSITIVE_INFINITY;
    final int rateSharers =
        sharing && settings.weightMeaning() == WeightMeaning.NOMINAL ? settings.courierCount() : 0;
    this.inVastFleet = state.relaxesSmallShares && FleetSize.isVast(settings.courierCount());
    this.pacing = new SendPacing(new FairShare(inVastFleet), rateSharers);
    this.window = new ConcurrencyWindow(largeFleet);
    this.stepsTaken = state.stepCount;
  }

  // ---------------------------------------------------------------- parts

  Destination destination() {
    return destination;
  }

  DestinationKind kind() {
    return kind;
  }

  List<EndpointHealth> endpoints() {
    return endpoints;
  }

  ReadyRoute entryByUrgency() {
    return entryByUrgency;
  }

  ReadyRoute entryByUrgencyPerCallTime() {
    return entryByUrgencyPerCallTime;
  }

  RouteTimer recheckTimer() {
    return recheckTimer;
  }

  RouteTimer recoveryEndTimer() {
    return recoveryEndTimer;
  }

  CircuitBreaker circuit() {
    return circuit;
  }

  ConcurrencyWindow window() {
    return window;
  }

  SendPacing pacing() {
    return pacing;
  }

  StepStatistics step() {
    return step;
  }

  ServiceRate serviceRate() {
    return serviceRate;
  }

  LatencyProfile latency() {
    return latency;
  }

  RejectionHistory rejections() {
    return rejections;
  }

  boolean isDegraded() {
    return degraded;
  }

  void setDegraded(final boolean isDegraded) {
    degraded = isDegraded;
  }

  boolean isInVastFleet() {
    return inVastFleet;
  }

  /** Returns whether an endpoint is in this courier's own zone. */
  boolean isInLocalZone(final EndpointHealth endpoint) {
    return endpoint.zone().equals(settings.zone());
  }

  /**
   * Returns whether this courier is one of those that keep an idle connection of this route open,
   * and this endpoint is the one to keep it to. In a vast fleet no courier does: a kept connection
   * is hardly ever used again, and those in use need the capacity.
   */
  boolean mayKeepIdleConnection(final EndpointHealth endpoint) {
    return !inVastFleet
        && idleConnectionDraw
            < FleetSize.idleConnectionShare(endpoints.size(), settings.courierCount())
        && endpoint.connections() == 1
        && endpoints.stream()
            .allMatch(
                other ->
                    other == endpoint
                        || (isInLocalZone(endpoint) == isInLocalZone(other)
                            ? other.connections() == 0
                            : isInLocalZone(endpoint)));
  }

  // ---------------------------------------------------------------- calls

  int callsInFlight() {
    return callsInFlight;
  }

  int overdueCalls() {
    return overdueCalls;
  }

  int unresponsiveCalls() {
    return unresponsiveCalls;
  }

  /** Counts a call that is sent now. */
  void startCall() {
    callsInFlight++;
    step.recordCallsInFlight(callsInFlight);
  }

  /** Counts a call that another process of this courier has sent. */
  void adoptCall() {
    callsInFlight++;
  }

  void endCall() {
    callsInFlight--;
  }

  void addOverdueCall() {
    overdueCalls++;
  }

  void removeOverdueCall() {
    overdueCalls--;
  }

  void addUnresponsiveCall() {
    unresponsiveCalls++;
  }

  void removeUnresponsiveCalls(final int count) {
    unresponsiveCalls -= count;
  }

  /**
   * Records a call that was answered for all of its messages, as evidence for the rejection cause.
   */
  void recordCompletedCall(final InFlightCall call, final long nowUs) {
    if (circuit.isClosed()) {
      serviceRate.recordCallBeforeFirstStep();
    }
    rejections.recordCompletedCall(call.sentUs(), nowUs);
    if (call.isProbe()) {
      rejections.classifier().recordProbe(true, nowUs);
      pacing.endBackoff(nowUs);
    }
    if (rejections.classifier().hasJustSettledOnNoise()) {
      treatRejectionsAsNoise(nowUs);
    }
  }

  /** Returns the number of calls served a second that is known for certain. */
  double callsPerSecond() {
    return serviceRate.knownCallsPerSecond(step.calls());
  }

  // ---------------------------------------------------------------- rejections and outages

  /**
   * Lifts the backoff and all other restrictions that rejections have caused: there was capacity
   * after all.
   */
  private void treatRejectionsAsNoise(final long nowUs) {
    window.markBeforeNoise();
    pacing.beginNoise(nowUs);
    rejections.initialGrowth().restart();
  }

  /**
   * Returns to the window and the rate from before the noise: the rejections were caused by load
   * after all.
   */
  void treatRejectionsAsLoad(final long nowUs) {
    rejections.classifier().onRetryBudgetExhausted(nowUs);
    window.revertToBeforeNoise();
    pacing.revertToBeforeNoise();
  }

  /** Returns when the backoff ends; earlier if a probe is allowed and enough messages wait. */
  long effectiveBackoffUntilUs() {
    return rejections.isProbeAllowed() && destination.waitingMessages() >= MIN_WAITING_FOR_PROBE
        ? Math.min(pacing.backoffUntilUs(), rejections.classifier().nextProbeUs())
        : pacing.backoffUntilUs();
  }

  /** Returns whether the call that is sent now is a probe; if so, no other probe is allowed. */
  boolean tryTakeProbe(final long nowUs) {
    if (pacing.backoffUntilUs() <= nowUs) {
      return false;
    }
    rejections.takeProbe();
    return true;
  }

  /**
   * Resumes normal operation after a recovery. The rejection cause is reset; the queue that has
   * grown meanwhile is sent at the known rate only, since it could still overload the destination.
   */
  void resumeAfterRecovery(final long cautiousUntilUs) {
    pacing.stayCautiousUntil(cautiousUntilUs);
    rejections.classifier().reset();
    pacing.restrictRateAfterOutage(callsPerSecond());
    rejections.initialGrowth().restart();
  }

  /**
   * Undoes an outage that was detected while this courier itself had no connectivity: the route is
   * as it was before, at its previous rate.
   *
   * @param sinceUs since when this courier had no connectivity
   * @return whether there was such an outage
   */
  boolean undoFaultsSince(final long sinceUs, final long nowUs) {
    if (!circuit.isOpen() || circuit.faultSinceUs() < sinceUs) {
      return false;
    }
    circuit.cancelOutage();
    pacing.endBackoff(nowUs);
    window.raiseToInitial();
    pacing.restrictRateAfterOutage(callsPerSecond());
    endpoints.forEach(endpoint -> endpoint.clearFaults(nowUs));
    return true;
  }

  /** Returns whether the rate may grow faster: a long queue waits and the step had no rejection. */
  boolean mayRegainRate(final long nowUs) {
    return step.rejections() == 0
        && destination.waitingMessages() >= LONG_QUEUE
        && !pacing.isCautious(nowUs);
  }

  /** Records that the circuit breaker has been checked for an outage. */
  void recordFaultCheck(final long tick, final long nowUs) {
    faultCheckTick = tick;
    faultCheckUs = nowUs;
  }

  long faultCheckTick() {
    return faultCheckTick;
  }

  long faultCheckUs() {
    return faultCheckUs;
  }

  // ---------------------------------------------------------------- steps

  /** Marks the route as active, so that its next step is taken; returns whether it was inactive. */
  boolean activate() {
    final boolean wasInactive = !active;
    active = true;
    return wasInactive;
  }

  /** Begins the step with this number; all earlier steps count as taken. */
  void beginStep(final long stepNumber) {
    active = false;
    stepsTaken = stepNumber;
  }

  /** Catches up on the steps in which the route was idle, without a delivery or a rejection. */
  void catchUpIdleSteps(final long stepNumber) {
    final long idleSteps = stepNumber - stepsTaken;
    if (idleSteps == 0) {
      return;
    }
    stepsTaken = stepNumber;
    if (idleSteps > MAX_SINGLE_STEPS) {
      skipIdleSteps(idleSteps);
    } else {
      takeIdleSteps(idleSteps);
    }
    step.resetPeak(callsInFlight);
  }

  private void takeIdleSteps(final long count) {
    for (long taken = 0; taken < count; taken++) {
      if (circuit.isClosed()) {
        serviceRate.recordIdleStep();
      }
      pacing.growRate();
    }
  }

  private void skipIdleSteps(final long count) {
    if (circuit.isClosed()) {
      serviceRate.recordLongIdleness(count);
    }
    pacing.liftRate();
  }
}
