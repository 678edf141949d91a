package thistleturn.courier.handover;

import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Front;
import thistleturn.courier.port.Held;

/**
 * The process that decides, as one sees it that carries out for it what it has begun. On its event
 * loop only.
 */
public interface Heir {
  /** A client has handed a message in here; the answer comes back to it. */
  void offer(Held held, long validUntilUs, Front.Reply reply);

  /** The client went before it was answered. */
  void withdraw(String id, long destination);

  /** The outcome of one message's part in a call that was out at the handover. */
  void outcome(long call, String messageId, Carrier.Answer answer);
}
