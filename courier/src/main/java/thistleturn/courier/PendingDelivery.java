package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.model.MessageClass;

/** A message that is owed its end, as the {@link DecisionLoop} that decides for it sees it. */
final class PendingDelivery {
  final StoredMessage message;
  final MessageClass messageClass;
  final long deadlineUs;

  /** Where its first answer goes; null once that is given. */
  Ingress.Reply reply;

  boolean ended;

  /** The call that it is in; null while it is in none. */
  Dispatcher.Call call;

  PendingDelivery(
      final StoredMessage held,
      final MessageClass kind,
      final long validUntilUs,
      final Ingress.Reply reply) {
    this.message = held;
    this.messageClass = kind;
    this.deadlineUs = validUntilUs;
    this.reply = reply;
  }
}
