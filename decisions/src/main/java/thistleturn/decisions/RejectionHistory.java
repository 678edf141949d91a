package thistleturn.decisions;

import thistleturn.decisions.rejections.InitialWindowGrowth;
import thistleturn.decisions.rejections.RejectionClassifier;
import thistleturn.decisions.rejections.RejectionClassifier.Cause;
import thistleturn.decisions.rejections.RetryBudget;

/** What the rejections of one route have shown so far, and what may be retried on their account. */
final class RejectionHistory {
  private final RejectionClassifier classifier = new RejectionClassifier();
  private final RetryBudget retryBudget = new RetryBudget();
  private final InitialWindowGrowth initialGrowth = new InitialWindowGrowth();

  private long completedCalls;
  private long rejectedCalls;

  /** When the first of the rejections came that are one signal. */
  private long signalUs;

  /** Whether one call may go in spite of the backoff, to learn what the rejection answered to. */
  private boolean probeAllowed;

  RejectionClassifier classifier() {
    return classifier;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  InitialWindowGrowth initialGrowth() {
    return initialGrowth;
  }

  long completedCalls() {
    return completedCalls;
  }

  /** Counts a rejected call; returns how many there were in all. */
  long countRejectedCall() {
    return ++rejectedCalls;
  }

  /** Takes in a call that was answered for all of its messages. */
  void recordCompletedCall(final long sentUs, final long nowUs) {
    completedCalls++;
    classifier.recordServed(sentUs, nowUs);
    retryBudget.recordServed();
  }

  boolean isNoise(final long nowUs) {
    return classifier.cause(nowUs) == Cause.NOISE;
  }

  /**
   * Returns whether a rejected call was sent before the last rejection came, so that both are one
   * signal; begins a new signal if not.
   */
  boolean isSameSignal(final long sentUs, final long nowUs) {
    final boolean same = sentUs < signalUs;
    signalUs = same ? signalUs : nowUs;
    return same;
  }

  boolean isProbeAllowed() {
    return probeAllowed;
  }

  void allowProbe() {
    probeAllowed = true;
  }

  void takeProbe() {
    probeAllowed = false;
  }
}
