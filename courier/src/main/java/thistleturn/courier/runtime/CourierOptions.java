package thistleturn.courier.runtime;

/**
 * The size of a courier, beside the limits in the platform's configuration.
 *
 * @param clientIdleTimeoutUs how long a client's connection is kept open between requests, us, as
 *     long as few enough are open that the choice is the courier's
 * @param clientDescriptorShare share of the file descriptors for clients' connections, above 0 and
 *     at most 0.95 together with {@code endpointDescriptorShare}
 * @param endpointDescriptorShare share of the file descriptors for connections to endpoints
 * @param shardCount number of event loops that share the destinations, 1 to 64
 * @param retainsLearnedState whether learned state is kept in the state folder for the next process
 */
public record CourierOptions(
    long clientIdleTimeoutUs,
    double clientDescriptorShare,
    double endpointDescriptorShare,
    int shardCount,
    boolean retainsLearnedState) {
  private static final long DEFAULT_CLIENT_IDLE_TIMEOUT_US = 10_000_000;
  private static final double DEFAULT_DESCRIPTOR_SHARE = 0.4;

  /** Set by operators; its spelling stays. */
  private static final String RETAINS_LEARNED_STATE_PROPERTY = "thistleturn.remembers";

  /** Returns what fits the platform's limits: one core, and two fifths of the descriptors each. */
  public static CourierOptions platformDefaults() {
    return new CourierOptions(
        DEFAULT_CLIENT_IDLE_TIMEOUT_US,
        DEFAULT_DESCRIPTOR_SHARE,
        DEFAULT_DESCRIPTOR_SHARE,
        1,
        Boolean.getBoolean(RETAINS_LEARNED_STATE_PROPERTY));
  }
}
