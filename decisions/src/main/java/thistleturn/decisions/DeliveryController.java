package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.PriorAttempts;

/**
 * The decisions of one courier, as its host calls them. The host (a courier process, or an adapter)
 * reports events in the order in which they happened, then calls {@link #decide} once, and carries
 * out the {@link DeliveryActions} that it was asked for meanwhile.
 *
 * <p>All times are microseconds on one clock that only advances. Implementations are not
 * thread-safe.
 */
public interface DeliveryController {

  /** Reports a change of the endpoint list, or that the list could not be had. */
  void onEndpointList(long nowUs, EndpointUpdate update, List<Endpoint> entries);

  /** Reports a message that was accepted. */
  void onMessage(long nowUs, Message message);

  /**
   * Reports a message that an earlier process of this courier had accepted, in the order of
   * acceptance.
   */
  void onMessageResumed(long nowUs, Message message, PriorAttempts past);

  /** Reports when this process ends: the next one goes on with the messages that it has then. */
  void onStopping(long nowUs, long stopUs);

  /**
   * Reports a change of what this courier may use. No further call goes out while more calls are in
   * flight than that.
   */
  void onCapacityChanged(long nowUs, int concurrencyLimit, int maxPendingMessages);

  /** Reports how an attempt has ended. */
  void onOutcome(long nowUs, AttemptOutcome outcome);

  /** Reports that nobody wants a message any more; it is owed no answer. */
  void onMessageAbandoned(long nowUs, String messageId);

  /** Acts on all that was reported so far; also called when a scheduled decision is due. */
  void decide(long nowUs);
}
