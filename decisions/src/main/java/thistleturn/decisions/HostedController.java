package thistleturn.decisions;

import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * A controller in a courier process, which may be paused, lose its connectivity, take over from an
 * earlier process, and receive directives from operators and subsystems. Not thread-safe.
 */
public interface HostedController extends DeliveryController {

  /** Applies a Retry-After from a response that arrived after its call had ended. */
  void onRetryAfter(long nowUs, long endpointId, long retryAfterUs);

  /**
   * Reports that an operator has enabled an endpoint again: the endpoint may be cold, and so may
   * its destination.
   */
  void onEndpointEnabled(long nowUs, long endpointId);

  /** Applies a directive for an endpoint; returns whether the endpoint is known. */
  boolean onEndpointDirective(long nowUs, long endpointId, Directive directive);

  /** Applies a directive for a destination; returns whether the destination is known. */
  boolean onDestinationDirective(long nowUs, long destinationId, Directive directive);

  /**
   * Reports that this process did not run for a time before now. The pause is not the fault of any
   * endpoint: calls become overdue later by its length.
   */
  void onHostPaused(long nowUs, long pauseUs);

  /**
   * Reports that connectivity, lost since a time, is restored: cancels the outages due to the loss.
   */
  void onConnectivityRestored(long nowUs, long sinceUs);

  /**
   * Accepts a message again whose last attempt, by an earlier process of this courier, may still be
   * in flight. The message keeps its place among the messages of its key and waits until {@link
   * #onInterruptionEnded}.
   *
   * @param priorAttempts the attempts so far, including the interrupted one
   */
  void onMessageInterrupted(long nowUs, Message message, PriorAttempts priorAttempts);

  /** Reports that the interrupted attempt of a message has ended; it may have been executed. */
  void onInterruptionEnded(long nowUs, String messageId);

  /**
   * Adopts a message with the call that another process of this courier has in flight; the outcome
   * is reported to this controller. The messages of one call are reported consecutively.
   *
   * @param priorAttempts the attempts before that call
   * @param sameCall whether the message belongs to the call of the previous one
   */
  void onCallAdopted(
      long nowUs,
      Message message,
      PriorAttempts priorAttempts,
      long endpointId,
      long sentUs,
      boolean sameCall);

  /**
   * Reports that an ended attempt, which counted as one that never ran, may have run after all.
   *
   * @param sentUs when it was sent
   * @param zone the zone of its endpoint
   */
  void onPossibleExecution(long nowUs, String messageId, long sentUs, String zone);

  /**
   * Reports that an endpoint has stated that no further attempt of a message may follow, while its
   * attempt is still in flight or after that has ended.
   */
  void onAttemptsExhausted(long nowUs, String messageId);

  /** Returns the state learned so far. */
  LearnedState learnedState();

  /**
   * Restores the state learned by another process of this courier; called after the endpoint list.
   */
  void onLearnedState(long nowUs, LearnedState learned);
}
