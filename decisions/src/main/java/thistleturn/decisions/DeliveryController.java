package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * What a courier's decisions are told and what they may ask for. A host (a courier process, or the
 * bench's adapter) calls the inbound events in the order in which they happened, then {@link
 * #decide} once, and carries out the {@link DeliveryActions} it was given meanwhile. All times are
 * microseconds on one clock that only advances.
 */
public interface DeliveryController {

  /** The list changed, or could not be had. */
  void onEndpointList(long nowUs, EndpointUpdate update, List<Endpoint> entries);

  /** A message was taken. */
  void onMessage(long nowUs, Message message);

  /** A message that an earlier process of this courier took is held again; in the order taken. */
  void onMessageResumed(long nowUs, Message message, PriorAttempts past);

  /** This process ends at {@code stopUs}: what it still holds then goes on in the next one. */
  void onStopping(long nowUs, long stopUs);

  /**
   * What this courier may use has changed; it gets no further calls out while it has more than
   * that.
   */
  void onCapacityChanged(long nowUs, int slots, int maxOpen);

  /** An attempt ended. */
  void onOutcome(long nowUs, AttemptOutcome outcome);

  /** Nobody wants this message any more; it is owed no answer. */
  void onMessageAbandoned(long nowUs, String messageId);

  /** All that happened by now has been told, or a wake-up fell due: act on it. */
  void decide(long nowUs);
}
