package thistleturn.courier;

/**
 * How large a courier is made, beside what the platform's configuration says of its limits.
 *
 * @param clientIdleTimeoutUs how long a client's connection is kept between requests, us; as long
 *     as that is up to the courier where few are open
 * @param clientDescriptorShare share of the descriptors for clients' connections, above 0 and at
 *     most 0.95 together with {@code endpointDescriptorShare}
 * @param endpointDescriptorShare share of the descriptors for connections to endpoints
 * @param shardCount event loops that share the destinations, 1 to 64
 * @param retainsLearnedState whether what was learnt is kept in the state folder for the process
 *     after this one
 */
public record CourierOptions(
    long clientIdleTimeoutUs,
    double clientDescriptorShare,
    double endpointDescriptorShare,
    int shardCount,
    boolean retainsLearnedState) {
  /**
   * What the platform's limits ask for: one core, and two fifths of the descriptors on either side.
   */
  public static CourierOptions platformDefaults() {
    return new CourierOptions(10_000_000, 0.4, 0.4, 1, Boolean.getBoolean("thistleturn.remembers"));
  }
}
