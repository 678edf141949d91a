package thistleturn.decisions;

import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * A controller in a real process, which pauses, loses its connectivity, takes over from an earlier
 * process, and has operators and subsystems that direct it. Not thread-safe.
 */
public interface HostedController extends DeliveryController {

  /** Heeds a Retry-After of an endpoint whose answer is no call's outcome any more. */
  void onRetryAfter(long nowUs, long endpointId, long retryAfterUs);

  /** An endpoint that was disabled by an operator comes back cold, and so may its destination. */
  void onEndpointEnabled(long nowUs, long endpointId);

  /** Applies a directive for an endpoint; returns whether the endpoint is known. */
  boolean onEndpointDirective(long nowUs, long endpointId, Directive directive);

  /** Applies a directive for a destination; returns whether the destination is known. */
  boolean onDestinationDirective(long nowUs, long destinationId, Directive directive);

  /**
   * This courier did not run for so long before now. That is no call's fault: what would have been
   * overdue becomes so later by as much.
   */
  void onHostPaused(long nowUs, long pauseUs);

  /**
   * This courier had no connectivity since a time, and has it again: undoes outages due to that.
   */
  void onConnectivityRestored(long nowUs, long sinceUs);

  /**
   * Takes on a message again whose last attempt may still be in flight, by an earlier process of
   * this courier: it keeps its place among the messages of its key, and waits until {@link
   * #onInterruptionEnded}.
   *
   * @param priorAttempts the attempts so far, the interrupted one included
   */
  void onMessageInterrupted(long nowUs, Message message, PriorAttempts priorAttempts);

  /** The interrupted attempt of a message is over; it may have been executed. */
  void onInterruptionEnded(long nowUs, String messageId);

  /**
   * Takes on a message with a call that another process of this courier has in flight; the outcome
   * is reported here. The messages of one call come one after the other.
   *
   * @param priorAttempts the attempts before that call
   * @param sameCall whether the message belongs to the call of the one before it
   */
  void onCallAdopted(
      long nowUs,
      Message message,
      PriorAttempts priorAttempts,
      long endpointId,
      long sentUs,
      boolean sameCall);

  /** Returns what this courier has learned so far. */
  LearnedState learnedState();

  /** Takes over what another process of this courier had learned, after the endpoint list. */
  void onLearnedState(long nowUs, LearnedState learned);
}
