package thistleturn.courier.port;

import thistleturn.decisions.model.MessageClass;

/** What a front asks of its host, and hands to it. */
public interface IngressHandler {
  /** The class of that name, or null. */
  MessageClass messageClass(String className);

  /** True if what is offered for that destination is answered before another event of this loop. */
  boolean isAnsweredOnThisLoop(long destination);

  /**
   * Takes a message, if it can be taken and there is room; its reply comes at the end of the pass,
   * or at once. Its way must have begun ({@link StoredMessage#startTimeline}): the host notes there
   * where its time goes.
   */
  void submit(StoredMessage held, long validUntilUs, Ingress.Reply reply);

  /** The client went before it was answered: nobody knows of this message, and nobody wants it. */
  void withdraw(String id, long destination);
}
