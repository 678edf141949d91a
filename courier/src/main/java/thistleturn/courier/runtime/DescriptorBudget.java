package thistleturn.courier.runtime;

/**
 * Divides the file descriptors between client connections and endpoint connections. Each side has
 * its share. The unused part of the endpoints' share, except a fraction of {@value
 * #RESERVED_FRACTION}, is lent to clients and reclaimed by connection eviction. Used on one event
 * loop.
 */
public final class DescriptorBudget {
  /** The fraction of the endpoints' share that is never lent. */
  private static final double RESERVED_FRACTION = 0.5;

  private final int clientShare;
  private final int endpointShare;
  private int clientConnections;
  private int endpointConnections;

  /** Creates a budget of two shares, each at least 1. */
  public DescriptorBudget(final int clientShare, final int endpointShare) {
    this.clientShare = clientShare;
    this.endpointShare = endpointShare;
  }

  /**
   * Adjusts the number of endpoint connections, open or connecting.
   *
   * @param change the increase, or the decrease if negative
   */
  public void addEndpointConnections(final int change) {
    endpointConnections += change;
  }

  /** Sets the number of client connections. */
  public void setClientConnections(final int connections) {
    clientConnections = connections;
  }

  /** Returns true if no further endpoint connection may be opened now. */
  public boolean isEndpointLimitReached() {
    return endpointConnections >= maxEndpointConnections();
  }

  /** Returns how many client connections may be open now. */
  public int maxClientConnections() {
    final int reserved = (int) (RESERVED_FRACTION * endpointShare);
    return clientShare + endpointShare - Math.max(endpointConnections, reserved);
  }

  /** Returns how many endpoint connections may be open now. */
  private int maxEndpointConnections() {
    final int reserved = (int) Math.max(1, RESERVED_FRACTION * endpointShare);
    final int lent = Math.max(0, clientConnections - clientShare);
    return Math.max(reserved, endpointShare - lent);
  }
}
