package thistleturn.decisions;

import java.util.EnumSet;
import java.util.Set;

/**
 * The circuit breaker of one route: decides from the outcomes of its calls whether the route has
 * failed, and holds the times and intervals by which trials and the recovery are paced.
 *
 * <p>The state changes only by {@link #open}, {@link #beginRecovery}, {@link #completeRecovery} and
 * {@link #cancelOutage}; a transition that the current state does not allow is an error. Either of
 * two measures opens the circuit: a run of weighted faults without a success, or the ratio of
 * failures among recent calls.
 */
final class CircuitBreaker {
  /** Weight of faults without a success that opens the circuit. */
  static final double OUTAGE_FAULT_RUN = 3;

  /** Ratio of failures among recent calls that opens the circuit. */
  private static final double OUTAGE_FAILURE_RATIO = 0.6;

  /** Weight of one call in the failure ratio, an average over about the last eight calls. */
  private static final double FAILURE_SAMPLE_WEIGHT = 0.12;

  private static final Set<CircuitState> CLOSED_OR_RECOVERING =
      EnumSet.of(CircuitState.CLOSED, CircuitState.RECOVERING);
  private static final Set<CircuitState> CLOSED_OR_OPEN =
      EnumSet.of(CircuitState.CLOSED, CircuitState.OPEN);
  private static final Set<CircuitState> ONLY_RECOVERING = EnumSet.of(CircuitState.RECOVERING);
  private static final Set<CircuitState> ONLY_OPEN = EnumSet.of(CircuitState.OPEN);

  private CircuitState state = CircuitState.CLOSED;
  private double faultRun;
  private double failureRatio;

  /**
   * Since when no call has succeeded; {@link OverloadController#NEVER} while the route has no
   * fault.
   */
  private long faultSinceUs = OverloadController.NEVER;

  private long nextTrialUs;
  private long recoverySinceUs;
  private double recoveryIntervalUs;

  CircuitState state() {
    return state;
  }

  boolean isClosed() {
    return state == CircuitState.CLOSED;
  }

  boolean isOpen() {
    return state == CircuitState.OPEN;
  }

  boolean isRecovering() {
    return state == CircuitState.RECOVERING;
  }

  // ---------------------------------------------------------------- transitions

  /** Opens the circuit: from now on only single trials are sent. */
  void open() {
    moveTo(CircuitState.OPEN, CLOSED_OR_RECOVERING);
  }

  /**
   * Begins the recovery, during which calls are paced.
   *
   * @param sinceUs when the destination began to warm up
   * @param intervalUs the interval of calls at the overload threshold
   */
  void beginRecovery(final long sinceUs, final double intervalUs) {
    moveTo(CircuitState.RECOVERING, CLOSED_OR_OPEN);
    recoverySinceUs = sinceUs;
    recoveryIntervalUs = intervalUs;
    failureRatio = 0;
  }

  /** Ends the recovery: the destination has warmed up. */
  void completeRecovery() {
    moveTo(CircuitState.CLOSED, ONLY_RECOVERING);
  }

  /** Closes a circuit that was opened because of faults outside the destination. */
  void cancelOutage() {
    moveTo(CircuitState.CLOSED, ONLY_OPEN);
    faultRun = 0;
    failureRatio = 0;
    faultSinceUs = OverloadController.NEVER;
  }

  private void moveTo(final CircuitState next, final Set<CircuitState> allowedFrom) {
    if (!allowedFrom.contains(state)) {
      throw new IllegalStateException("illegal circuit transition: " + state + " to " + next);
    }
    state = next;
  }

  // ---------------------------------------------------------------- evidence

  /**
   * Adds to the run of faults.
   *
   * @param weight the weight of the fault, where a failed call weighs 1
   */
  void addFault(final double weight) {
    faultRun += weight;
  }

  /** Clears the run of faults after a successful call. */
  void endFaultRun() {
    faultRun = 0;
  }

  /** Returns whether a run of faults is under way. */
  boolean hasFaultRun() {
    return faultRun != 0;
  }

  /** Returns whether the recorded faults and the unresponsive calls amount to an outage. */
  boolean isOutage(final int unresponsiveCalls) {
    return faultRun + unresponsiveCalls >= OUTAGE_FAULT_RUN || failureRatio > OUTAGE_FAILURE_RATIO;
  }

  /**
   * Counts a failure in the failure ratio.
   *
   * @param part the fraction of a call that failed
   */
  void recordFailure(final double part) {
    failureRatio += part * FAILURE_SAMPLE_WEIGHT * (1 - failureRatio);
  }

  /**
   * Counts a success in the failure ratio.
   *
   * @param part the fraction of a call that succeeded
   */
  void recordSuccess(final double part) {
    failureRatio -= part * FAILURE_SAMPLE_WEIGHT * failureRatio;
  }

  double failureRatio() {
    return failureRatio;
  }

  // ---------------------------------------------------------------- start of the fault

  boolean isFaulty() {
    return faultSinceUs != OverloadController.NEVER;
  }

  long faultSinceUs() {
    return faultSinceUs;
  }

  /** Records that the route has been failing since a time, unless an earlier one is recorded. */
  void markFaultySince(final long sinceUs) {
    faultSinceUs = Math.min(faultSinceUs, sinceUs);
  }

  void clearFaulty() {
    faultSinceUs = OverloadController.NEVER;
  }

  // ---------------------------------------------------------------- trials and recovery

  long nextTrialUs() {
    return nextTrialUs;
  }

  void scheduleTrial(final long atUs) {
    nextTrialUs = atUs;
  }

  /** Moves the next trial forward to a time, if it is scheduled later. */
  void allowTrialBy(final long atUs) {
    nextTrialUs = Math.min(nextTrialUs, atUs);
  }

  /** Returns how long the recovery has lasted at a time. */
  long recoveryAgeUs(final long atUs) {
    return atUs - recoverySinceUs;
  }

  long recoverySinceUs() {
    return recoverySinceUs;
  }

  /** Returns the interval of calls at the overload threshold during the recovery. */
  double recoveryIntervalUs() {
    return recoveryIntervalUs;
  }

  // ---------------------------------------------------------------- learned state

  double faultRun() {
    return faultRun;
  }

  /** Restores the state learned by another process of this courier. */
  void restore(
      final CircuitState restoredState,
      final double restoredFaultRun,
      final double restoredFailureRatio,
      final double restoredRecoveryIntervalUs) {
    state = restoredState;
    faultRun = restoredFaultRun;
    failureRatio = restoredFailureRatio;
    recoveryIntervalUs = restoredRecoveryIntervalUs;
  }

  /** Restores the times recorded by another process of this courier. */
  void restoreTimes(
      final long restoredFaultSinceUs,
      final long restoredNextTrialUs,
      final long restoredRecoverySinceUs) {
    faultSinceUs = restoredFaultSinceUs;
    nextTrialUs = restoredNextTrialUs;
    recoverySinceUs = restoredRecoverySinceUs;
  }
}
