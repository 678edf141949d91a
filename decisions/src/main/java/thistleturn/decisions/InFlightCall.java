package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.AttemptResult;

/**
 * A call in flight to one endpoint, with one or more messages; its timer is due when it becomes
 * overdue.
 */
final class InFlightCall extends TimeHeap.Entry {
  /**
   * A call is overdue after this many times its expected duration; by chance, one call in 150 takes
   * so long.
   */
  static final double OVERDUE_FACTOR = 5;

  /** Shortest duration after which a call is overdue, us. */
  static final long MIN_OVERDUE_US = OverloadController.SECOND_US;

  /** A failure is isolated if the failure ratio of the route is less than this. */
  private static final double MAX_ISOLATED_FAILURE_RATIO = 0.3;

  private final EndpointHealth endpoint;
  private final long sentUs;

  /** The messages that have no attempt result yet. */
  private final List<PendingMessage> pendingMessages = new ArrayList<>(1);

  private int batchSize;
  private long expectedUs;
  private long connectionIdleUs;

  /** Time for which this process was paused while the call was in flight, us. */
  private long hostPauseUs;

  /** When the first of its messages expires, which ends the call for all of them. */
  private long expiryUs = OverloadController.NEVER;

  /**
   * Whether the first message expired during a pause of this process, so that a response may have
   * arrived in time but was read too late.
   */
  private boolean expiredDuringHostPause;

  /** Whether the call used an existing connection, as far as the controller knows. */
  private boolean reusedConnection;

  /** Whether the call failed only because its connection was stale. */
  private boolean staleConnection;

  private boolean cancelled;
  private boolean overdue;
  private boolean probe;

  /** The classification of its rejection. */
  private RejectionMeaning rejection = RejectionMeaning.UNCLASSIFIED;

  /** Classifications of the rejection of a call. */
  private enum RejectionMeaning {
    UNCLASSIFIED,
    LOAD,
    UNRELATED_TO_LOAD
  }

  InFlightCall(final EndpointHealth endpoint, final long sentUs) {
    this.endpoint = endpoint;
    this.sentUs = sentUs;
  }

  EndpointHealth endpoint() {
    return endpoint;
  }

  Route route() {
    return endpoint.route();
  }

  long sentUs() {
    return sentUs;
  }

  // ---------------------------------------------------------------- messages

  /**
   * Adds a message to the call.
   *
   * @param messageExpectedUs expected duration of a call with this message
   */
  void add(final PendingMessage message, final long messageExpectedUs) {
    pendingMessages.add(message);
    batchSize++;
    expiryUs = Math.min(expiryUs, message.validUntilUs());
    expectedUs = Math.max(expectedUs, messageExpectedUs);
  }

  /** Sorts the messages in the order of acceptance, once all of them are sent. */
  void completeBatch() {
    pendingMessages.sort(Comparator.comparingLong(PendingMessage::sequence));
  }

  /** Removes a message that has an outcome. */
  void remove(final PendingMessage message) {
    pendingMessages.remove(message);
  }

  List<PendingMessage> pendingMessages() {
    return pendingMessages;
  }

  /** Returns whether all messages have an outcome. */
  boolean isComplete() {
    return pendingMessages.isEmpty();
  }

  /** Returns the number of messages with which the call was sent. */
  int batchSize() {
    return batchSize;
  }

  /** Returns the fraction of the call that one message accounts for. */
  double partPerMessage() {
    return 1.0 / batchSize;
  }

  long firstSequence() {
    return pendingMessages.get(0).sequence();
  }

  // ---------------------------------------------------------------- connection

  void useIdleConnection(final long idleUs) {
    connectionIdleUs = idleUs;
  }

  long connectionIdleUs() {
    return connectionIdleUs;
  }

  void setReusedConnection(final boolean reused) {
    reusedConnection = reused;
  }

  /**
   * Returns whether the call failed because its connection was stale before the call. The host
   * reports that or, where it cannot, a reset of a possibly reused connection to an endpoint
   * without failures is taken as the sign. The result then applies to all messages of the call.
   */
  boolean failedOnStaleConnection(final AttemptResult result, final double failureRun) {
    staleConnection |=
        result == AttemptResult.STALE
            || (result == AttemptResult.RESET && reusedConnection && failureRun == 0);
    return staleConnection;
  }

  /** Returns whether only this call failed while others succeeded. */
  boolean isIsolatedFailure(final int classIndex, final AttemptResult result) {
    final CircuitBreaker circuit = route().circuit();
    // A reset is reported at once, before another call can have been served: earlier successes
    // count.
    final boolean othersSucceed =
        endpoint.hasSucceededSince(sentUs)
            || (result != AttemptResult.TIMED_OUT
                && !circuit.hasFaultRun()
                && endpoint.lastSuccessUs() > 0);
    return othersSucceed
        && circuit.isClosed()
        && endpoint.failureRun(classIndex) == 0
        && circuit.failureRatio() < MAX_ISOLATED_FAILURE_RATIO;
  }

  /** Returns whether the failure ratio of a route is too high for isolated failures. */
  static boolean isCommonFailure(final double failureRatio) {
    return failureRatio > MAX_ISOLATED_FAILURE_RATIO;
  }

  // ---------------------------------------------------------------- overdue calls

  long expectedUs() {
    return expectedUs;
  }

  long overdueAtUs() {
    return sentUs + hostPauseUs + Math.max(MIN_OVERDUE_US, (long) (OVERDUE_FACTOR * expectedUs));
  }

  /** Extends the time before the call is overdue by a pause of this process that ends now. */
  void extendBy(final long pauseUs, final long nowUs) {
    hostPauseUs += pauseUs;
    expiredDuringHostPause |= expiryUs <= nowUs;
  }

  /**
   * Returns whether a time-out is no evidence against the endpoint: a message expired while this
   * process was paused, and a response that arrived in time may still be unread.
   */
  boolean isTimeoutOfHostPause(final AttemptResult result) {
    return result == AttemptResult.TIMED_OUT && expiredDuringHostPause;
  }

  boolean isOverdue() {
    return overdue;
  }

  void markOverdue() {
    overdue = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void cancel() {
    cancelled = true;
  }

  /** Returns whether the call is overdue and not yet cancelled. */
  boolean isCancellable() {
    return overdue && !cancelled;
  }

  // ---------------------------------------------------------------- rejection

  boolean isProbe() {
    return probe;
  }

  /**
   * Sets whether the call is a probe, which is sent to learn whether rejections are due to load.
   */
  void setProbe(final boolean isProbe) {
    probe = isProbe;
  }

  boolean isRejectionClassified() {
    return rejection != RejectionMeaning.UNCLASSIFIED;
  }

  void classifyRejection(final boolean unrelatedToLoad) {
    rejection = unrelatedToLoad ? RejectionMeaning.UNRELATED_TO_LOAD : RejectionMeaning.LOAD;
  }

  /** Returns whether its rejection was found to be unrelated to the load on the route. */
  boolean isRejectionUnrelatedToLoad() {
    return rejection == RejectionMeaning.UNRELATED_TO_LOAD;
  }
}
