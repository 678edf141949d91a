package thistleturn.courier.handover;

import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;

/**
 * The process that decides, as seen by the older one, which still has connections of clients and
 * calls in flight. Used on the event loop.
 */
public interface Successor {
  /** A client has submitted a message at the older process; the reply goes back to it. */
  void submit(StoredMessage message, long deadlineUs, Ingress.Reply reply);

  /** The client of a submission has disconnected before it received a reply. */
  void withdraw(Submission submission);

  /** The outcome of one message in a call that was in flight at the handover. */
  void reportOutcome(long call, String messageId, Dispatcher.DispatchOutcome outcome);

  /** The older process was told to reload the configuration, which is that of both. */
  void reloadConfiguration();
}
