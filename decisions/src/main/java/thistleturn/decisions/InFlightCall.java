package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import thistleturn.decisions.index.TimeHeap;
import thistleturn.decisions.model.AttemptResult;

/** A call in flight to one endpoint, with one or more messages; due when it becomes overdue. */
final class InFlightCall extends TimeHeap.Entry {
  /** A call is overdue after this many times its expected duration: one in 150, by chance. */
  static final double OVERDUE_FACTOR = 5;

  /** A call is not overdue before it has taken this long, us. */
  static final long MIN_OVERDUE_US = OverloadController.SECOND_US;

  /** A failure is isolated while less than this ratio of the route's calls fails. */
  private static final double MAX_ISOLATED_FAILURE_RATIO = 0.3;

  private final EndpointHealth endpoint;
  private final long sentUs;

  /** The messages without an outcome. */
  private final List<PendingMessage> pendingMessages = new ArrayList<>(1);

  private int batchSize;
  private long expectedUs;
  private long connectionIdleUs;

  /** How long this courier did not run while the call was in flight. */
  private long hostPauseUs;

  /** When the first of its messages expires: the call is over for all of them then. */
  private long expiryUs = OverloadController.NEVER;

  /** Whether that was while this courier did not run: a response in time was read too late. */
  private boolean expiredDuringHostPause;

  /** Whether it went over a connection that was there already, as far as is known here. */
  private boolean reusedConnection;

  /** Whether a stale connection alone made it fail. */
  private boolean staleConnection;

  private boolean cancelled;
  private boolean overdue;
  private boolean probe;

  /** What its rejection was found to mean. */
  private RejectionMeaning rejection = RejectionMeaning.UNCLASSIFIED;

  /** What the rejection of a call was found to mean. */
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

  /** Adds a message to the call, which is expected to take at least so long with it. */
  void add(final PendingMessage message, final long messageExpectedUs) {
    pendingMessages.add(message);
    batchSize++;
    expiryUs = Math.min(expiryUs, message.validUntilUs());
    expectedUs = Math.max(expectedUs, messageExpectedUs);
  }

  /** Puts the messages into the order in which they were accepted: all of them are sent. */
  void completeBatch() {
    pendingMessages.sort(Comparator.comparingLong(PendingMessage::sequence));
  }

  /** Removes a message that has its outcome. */
  void remove(final PendingMessage message) {
    pendingMessages.remove(message);
  }

  List<PendingMessage> pendingMessages() {
    return pendingMessages;
  }

  /** Returns whether all messages have their outcome. */
  boolean isComplete() {
    return pendingMessages.isEmpty();
  }

  /** Returns the number of messages it was sent with. */
  int batchSize() {
    return batchSize;
  }

  /** Returns the part that one message is of the call. */
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
   * Decides whether a failure is that of a connection that was stale before the call: as the host
   * tells or, where hosts cannot tell, as it seems from a reset of what may have been a reused
   * connection of an endpoint without failures. Once stale, it stays so for all of its messages.
   */
  boolean failedOnStaleConnection(final AttemptResult result, final double failureRun) {
    staleConnection |=
        result == AttemptResult.STALE
            || (result == AttemptResult.RESET && reusedConnection && failureRun == 0);
    return staleConnection;
  }

  /** Returns whether it alone was lost while others came through. */
  boolean isIsolatedFailure(final int classIndex, final AttemptResult result) {
    final CircuitBreaker circuit = route().circuit();
    // A reset comes at once, before another call can have been served.
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

  /** Returns whether failures of the route are too many to be isolated ones. */
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

  /** Grants the call the time in which this courier did not run, until now. */
  void extendBy(final long pauseUs, final long nowUs) {
    hostPauseUs += pauseUs;
    expiredDuringHostPause |= expiryUs <= nowUs;
  }

  /**
   * Returns whether a time-out says nothing about the endpoint: the time of a message was up while
   * this courier did not run, and a response that lies unread since may have come before.
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

  /** Returns whether it is overdue and still worth cancelling. */
  boolean isCancellable() {
    return overdue && !cancelled;
  }

  // ---------------------------------------------------------------- rejection

  boolean isProbe() {
    return probe;
  }

  /** Marks the call as one that is sent to learn what a rejection answered to. */
  void setProbe(final boolean isProbe) {
    probe = isProbe;
  }

  boolean isRejectionClassified() {
    return rejection != RejectionMeaning.UNCLASSIFIED;
  }

  void classifyRejection(final boolean unrelatedToLoad) {
    rejection = unrelatedToLoad ? RejectionMeaning.UNRELATED_TO_LOAD : RejectionMeaning.LOAD;
  }

  /** Returns whether its rejection was found not to answer to what the route is sent. */
  boolean isRejectionUnrelatedToLoad() {
    return rejection == RejectionMeaning.UNRELATED_TO_LOAD;
  }
}
