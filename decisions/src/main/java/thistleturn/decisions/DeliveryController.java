package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * The delivery decisions of one courier. The host (a courier process or an adapter) reports events
 * in the order in which they happened, then calls {@link #decide} once, and carries out the {@link
 * DeliveryActions} requested meanwhile.
 *
 * <p>All times are microseconds on one clock that only advances. Implementations are not
 * thread-safe.
 */
public interface DeliveryController {

  /** Reports a change of the endpoint list, or that the list is unavailable. */
  void onEndpointList(long nowUs, EndpointUpdate update, List<Endpoint> entries);

  /** Reports a message that was accepted. */
  void onMessage(long nowUs, Message message);

  /**
   * Reports a message accepted by an earlier process of this courier; called in the order of
   * acceptance.
   */
  void onMessageResumed(long nowUs, Message message, PriorAttempts past);

  /** Reports when this process stops; the next process continues with the messages left then. */
  void onStopping(long nowUs, long stopUs);

  /**
   * Reports a change of this courier's capacity. No further call is sent while the calls in flight
   * exceed it.
   */
  void onCapacityChanged(long nowUs, int concurrencyLimit, int maxPendingMessages);

  /** Reports the outcome of an attempt. */
  void onOutcome(long nowUs, AttemptOutcome outcome);

  /** Reports that a message was abandoned by its client; it needs no final outcome. */
  void onMessageAbandoned(long nowUs, String messageId);

  /** Acts on all events reported so far; also called when a scheduled decision is due. */
  void decide(long nowUs);
}
