package thistleturn.courier;

/**
 * How large a courier is made, beside what the platform's configuration says of its limits.
 *
 * @param clientIdleUs how long a client's connection is kept between requests, us; as long as that
 *     is up to the courier where few are open
 * @param clientShare share of the descriptors for clients' connections, above 0 and at most 0.95
 *     together with {@code endpointShare}
 * @param endpointShare share of the descriptors for connections to endpoints
 * @param shards event loops that share the destinations, 1 to 64
 * @param remembers whether what was learnt is kept in the state folder for the process after this
 *     one
 */
public record Tuning(
    long clientIdleUs, double clientShare, double endpointShare, int shards, boolean remembers) {
  /**
   * What the platform's limits ask for: one core, and two fifths of the descriptors on either side.
   */
  public static Tuning platform() {
    return new Tuning(10_000_000, 0.4, 0.4, 1, Boolean.getBoolean("thistleturn.remembers"));
  }
}
