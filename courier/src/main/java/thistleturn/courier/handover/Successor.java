package thistleturn.courier.handover;

import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;

/**
 * The process that decides, as one sees it that carries out for it what it has begun. On its event
 * loop only.
 */
public interface Successor {
  /** A client has handed a message in here; the answer comes back to it. */
  void submit(StoredMessage held, long validUntilUs, Ingress.Reply reply);

  /** The client went before it was answered. */
  void withdraw(String id, long destination);

  /** The outcome of one message's part in a call that was out at the handover. */
  void reportOutcome(long call, String messageId, Dispatcher.DispatchOutcome answer);
}
