package thistleturn.decisions;

/** What the decisions of a courier ask of its host. */
public interface DeliveryActions {
  /** Sends a message to an endpoint; the attempt may take until the timeout. */
  void send(String messageId, long endpoint, long timeoutUs);

  /** Ends a message undelivered; its client may safely hand it in again after a time. */
  void shed(String messageId, long retryAfterUs);

  /** Ends a message as failed; nothing is promised about its effect. */
  void fail(String messageId);

  /** Stops waiting for an attempt. */
  void cancel(String messageId, int attempt);

  /** Closes this courier's idle connections to an endpoint, before the actions that follow. */
  void closeIdleConnections(long endpoint);

  /** Asks for changes of the endpoint list from now on. */
  void subscribeToEndpointList();

  /**
   * Asks for {@link DeliveryController#decide} to be called after a delay, unless it is called
   * earlier.
   */
  void scheduleDecision(long delayUs);
}
