package thistleturn.decisions;

import thistleturn.decisions.rejections.InitialWindowGrowth;
import thistleturn.decisions.rejections.RejectionClassifier;
import thistleturn.decisions.rejections.RejectionClassifier.Cause;
import thistleturn.decisions.rejections.RetryBudget;

/**
 * The evidence that the rejections of one route have given so far, and the retries that it permits.
 */
final class RejectionHistory {
  private final RejectionClassifier classifier = new RejectionClassifier();
  private final RetryBudget retryBudget = new RetryBudget();
  private final InitialWindowGrowth initialGrowth = new InitialWindowGrowth();

  private long completedCalls;
  private long rejectedCalls;

  /** When the first rejection of the current signal came; one signal may be several rejections. */
  private long signalUs;

  /** Whether one call may be sent in spite of the backoff, to learn the cause of the rejection. */
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

  /** Counts a rejected call; returns the total of rejected calls. */
  long countRejectedCall() {
    return ++rejectedCalls;
  }

  /** Records a call that was answered for all of its messages. */
  void recordCompletedCall(final long sentUs, final long nowUs) {
    completedCalls++;
    classifier.recordServed(sentUs, nowUs);
    retryBudget.recordServed();
  }

  boolean isNoise(final long nowUs) {
    return classifier.cause(nowUs) == Cause.NOISE;
  }

  /**
   * Returns whether a rejected call was sent before the current signal came, so that its rejection
   * is part of that signal; begins a new signal if not.
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
