package thistleturn.decisions;

/** What a courier may ask of its host. */
public interface DeliveryActions {
  /** Calls an endpoint with a message. */
  void send(String messageId, long endpoint, long timeoutUs);

  /** Ends a message undelivered; its client may safely hand it in again. */
  void shed(String messageId, long retryAfterUs);

  /** Ends a message as failed; nothing is promised. */
  void fail(String messageId);

  /** Stops waiting for an attempt. */
  void cancel(String messageId, int attempt);

  /** Closes this courier's idle connections to an endpoint, before the actions that follow. */
  void closeIdleConnections(long endpoint);

  /** Asks for changes of the list from now on. */
  void subscribeToEndpointList();

  /**
   * Asks for {@link DeliveryController#decide} to be called again after a delay, if nothing calls
   * it earlier.
   */
  void scheduleDecision(long delayUs);
}
