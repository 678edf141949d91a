package thistleturn.courier.port;

import thistleturn.decisions.model.MessageClass;

/** Decides on the messages that an {@link Ingress} receives. */
public interface IngressHandler {
  /** Returns the message class of that name, or null if there is none. */
  MessageClass messageClass(String className);

  /**
   * Returns true if a message for that destination is answered on this event loop, before the loop
   * handles its next event.
   */
  boolean isAnsweredOnThisLoop(long destination);

  /**
   * Accepts or rejects a message, at once or at the end of the current decision round. The
   * message's timeline must have been started ({@link StoredMessage#startTimeline}).
   *
   * @param deadlineUs when the message expires, on the loop's clock
   */
  void submit(StoredMessage message, long deadlineUs, Ingress.Reply reply);

  /**
   * Withdraws what was submitted, since its client disconnected before it was answered. Another
   * message of the same id is not concerned, and neither is one that has ended.
   */
  void withdraw(Submission submission);
}
