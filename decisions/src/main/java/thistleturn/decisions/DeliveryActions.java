package thistleturn.decisions;

/** The actions that a controller requests from its host. */
public interface DeliveryActions {
  /** Sends a message to an endpoint; the attempt may take until the timeout. */
  void send(String messageId, long endpoint, long timeoutUs);

  /** Ends a message undelivered; its client may safely submit it again after a delay. */
  void shed(String messageId, long retryAfterUs);

  /** Ends a message as failed; it may or may not have been executed. */
  void fail(String messageId);

  /** Stops waiting for an attempt. */
  void cancel(String messageId, int attempt);

  /** Closes this courier's idle connections to an endpoint, before any later action. */
  void closeIdleConnections(long endpoint);

  /** Subscribes to changes of the endpoint list. */
  void subscribeToEndpointList();

  /**
   * Schedules a call of {@link DeliveryController#decide} after a delay; an earlier call replaces
   * it.
   */
  void scheduleDecision(long delayUs);
}
