package thistleturn.decisions;

import java.util.EnumSet;
import java.util.Set;

/**
 * The circuit breaker of one route: decides from the outcomes of its calls whether the route has
 * failed, and carries what the pacing of trials and of the recovery is reckoned from.
 *
 * <p>The state moves only by {@link #open}, {@link #beginRecovery}, {@link #completeRecovery} and
 * {@link #cancelOutage}; a move that the current state does not allow is an error. Two measures say
 * that a route has failed: a run of weighted faults without a success, and the ratio of failures
 * among recent calls.
 */
final class CircuitBreaker {
  /** Weight of faults without a success that opens the circuit. */
  static final double OUTAGE_FAULT_RUN = 3;

  /** Ratio of failures among recent calls that opens the circuit. */
  private static final double OUTAGE_FAILURE_RATIO = 0.6;

  /** Weight of one call in the failure ratio: a memory of about eight calls. */
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

  /** Since when nothing has succeeded; {@link OverloadController#NEVER} while nothing is wrong. */
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

  /** Opens the circuit: from now on only single trials go. */
  void open() {
    moveTo(CircuitState.OPEN, CLOSED_OR_RECOVERING);
  }

  /**
   * Begins the recovery: calls are paced from now on.
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

  /** Closes a circuit that was opened for faults that were not the destination's. */
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

  /** Forgets the run of faults: a call has succeeded. */
  void endFaultRun() {
    faultRun = 0;
  }

  /** Returns whether a run of faults is under way. */
  boolean hasFaultRun() {
    return faultRun != 0;
  }

  /** Returns whether the evidence, with so many calls unresponsive, amounts to an outage. */
  boolean isOutage(final int unresponsiveCalls) {
    return faultRun + unresponsiveCalls >= OUTAGE_FAULT_RUN || failureRatio > OUTAGE_FAILURE_RATIO;
  }

  /** Counts a failed part of a call in the failure ratio. */
  void recordFailure(final double part) {
    failureRatio += part * FAILURE_SAMPLE_WEIGHT * (1 - failureRatio);
  }

  /** Counts a successful part of a call in the failure ratio. */
  void recordSuccess(final double part) {
    failureRatio -= part * FAILURE_SAMPLE_WEIGHT * failureRatio;
  }

  double failureRatio() {
    return failureRatio;
  }

  // ---------------------------------------------------------------- since when it fails

  boolean isFaulty() {
    return faultSinceUs != OverloadController.NEVER;
  }

  long faultSinceUs() {
    return faultSinceUs;
  }

  /** Notes that the route has been failing since a time, unless it has been for longer. */
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

  /** Lets the next trial go now, if it was to go later. */
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

  /** Restores what another process of this courier had learned. */
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

  /** Restores the times that another process of this courier had noted. */
  void restoreTimes(
      final long restoredFaultSinceUs,
      final long restoredNextTrialUs,
      final long restoredRecoverySinceUs) {
    faultSinceUs = restoredFaultSinceUs;
    nextTrialUs = restoredNextTrialUs;
    recoverySinceUs = restoredRecoverySinceUs;
  }
}
