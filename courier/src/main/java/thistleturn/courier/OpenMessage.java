package thistleturn.courier;

import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Front;
import thistleturn.courier.port.Held;
import thistleturn.decisions.model.MessageClass;

/** A message that is owed its end, as the {@link Host} that decides for it sees it. */
final class OpenMessage {
  final Held held;
  final MessageClass kind;
  final long validUntilUs;

  /** Where its first answer goes; null once that is given. */
  Front.Reply reply;

  boolean over;

  /** The call that it is in; null while it is in none. */
  Carrier.Call call;

  OpenMessage(
      final Held held, final MessageClass kind, final long validUntilUs, final Front.Reply reply) {
    this.held = held;
    this.kind = kind;
    this.validUntilUs = validUntilUs;
    this.reply = reply;
  }
}
