package thistleturn.courier;

import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;

/**
 * A pending message: the client's reply until it is handed out, the call that carries the message
 * now, and whether the message has ended. It is in one call at most, and its reply is handed out
 * once.
 */
final class PendingDelivery {
  /** The controller's tenant index for a courier without tenants. */
  private static final int NO_TENANT = -1;

  private final StoredMessage message;
  private final MessageClass messageClass;
  private final long deadlineUs;

  /** True if the client was answered before this delivery was created. */
  private final boolean resumed;

  private Ingress.Reply reply;
  private Dispatcher.Call call;
  private boolean ended;

  /**
   * Creates the delivery of a message that has not ended.
   *
   * @param messageClass null for a class that is not configured any more
   * @param reply where the client's answer goes; null if the message was accepted earlier
   */
  PendingDelivery(
      final StoredMessage message,
      final MessageClass messageClass,
      final long deadlineUs,
      final Ingress.Reply reply) {
    this.message = message;
    this.messageClass = messageClass;
    this.deadlineUs = deadlineUs;
    this.reply = reply;
    this.resumed = reply == null;
  }

  /** Returns whether the message came by this submission, here or in an earlier process. */
  boolean cameBy(final Submission submission) {
    return message.submission() == submission
        || (resumed && submission.isSameAs(message.submission()));
  }

  StoredMessage message() {
    return message;
  }

  String id() {
    return message.id();
  }

  MessageClass messageClass() {
    return messageClass;
  }

  /** Returns when the message expires, in microseconds of the loop's clock. */
  long deadlineUs() {
    return deadlineUs;
  }

  /** Returns true while the client has not been answered and the message has not ended. */
  boolean awaitsReply() {
    return reply != null && !ended;
  }

  /**
   * Returns true once the client has been answered; the end of the message is then reported as a
   * final outcome.
   */
  boolean isAnswered() {
    return reply == null;
  }

  /**
   * Hands out the client's reply, to be answered by the caller; null if it was handed out before.
   */
  Ingress.Reply takeReply() {
    final Ingress.Reply taken = reply;
    reply = null;
    return taken;
  }

  boolean hasEnded() {
    return ended;
  }

  void end() {
    ended = true;
  }

  /** Returns the call that carries the message now, or null. */
  Dispatcher.Call call() {
    return call;
  }

  void startCall(final Dispatcher.Call started) {
    call = started;
  }

  void endCall() {
    call = null;
  }

  /** Returns the message as the controller sees it. */
  Message toControllerMessage(final int classIndex) {
    return new Message(
        message.id(), classIndex, NO_TENANT, null, deadlineUs, message.destination());
  }
}
