package thistleturn.courier.runtime;

/**
 * Options of a courier in addition to the limits in the platform's configuration.
 *
 * @param clientIdleTimeoutUs how long an idle client connection is kept open between requests, us;
 *     it may be closed earlier when descriptors are short
 * @param clientDescriptorShare share of the file descriptors for client connections, above 0 and at
 *     most 0.95 together with {@code endpointDescriptorShare}
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

  /** A system property that operators set. */
  private static final String RETAINS_LEARNED_STATE_PROPERTY = "thistleturn.remembers";

  /**
   * Returns the options that fit the platform's limits: one core, hence one shard, and two fifths
   * of the descriptors for each kind of connection.
   */
  public static CourierOptions platformDefaults() {
    return new CourierOptions(
        DEFAULT_CLIENT_IDLE_TIMEOUT_US,
        DEFAULT_DESCRIPTOR_SHARE,
        DEFAULT_DESCRIPTOR_SHARE,
        1,
        Boolean.getBoolean(RETAINS_LEARNED_STATE_PROPERTY));
  }
}
