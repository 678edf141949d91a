package thistleturn.courier.runtime;

/**
 * Divides the file descriptors between connections of clients and connections to endpoints. Each
 * side has its share. What the endpoints do not use of theirs, down to {@value #RESERVED_FRACTION}
 * of it, is lent to clients, and taken back by closing the connections of least use. Used on one
 * event loop.
 */
public final class DescriptorBudget {
  /** The fraction of the endpoints' share that is never lent. */
  private static final double RESERVED_FRACTION = 0.5;

  private final int clientShare;
  private final int endpointShare;
  private int clientConnections;
  private int endpointConnections;

  /** Makes a budget of two shares, each at least 1. */
  public DescriptorBudget(final int clientShare, final int endpointShare) {
    this.clientShare = clientShare;
    this.endpointShare = endpointShare;
  }

  /**
   * Counts connections to endpoints, open or connecting.
   *
   * @param change how many there are more, or fewer if below 0
   */
  public void addEndpointConnections(final int change) {
    endpointConnections += change;
  }

  /** Counts the connections of clients. */
  public void setClientConnections(final int connections) {
    clientConnections = connections;
  }

  /** True if no further connection to an endpoint may be made now. */
  public boolean isEndpointLimitReached() {
    return endpointConnections >= maxEndpointConnections();
  }

  /** Returns how many connections of clients may be open now. */
  public int maxClientConnections() {
    final int reserved = (int) (RESERVED_FRACTION * endpointShare);
    return clientShare + endpointShare - Math.max(endpointConnections, reserved);
  }

  /** Returns how many connections to endpoints may be open now. */
  private int maxEndpointConnections() {
    final int reserved = (int) Math.max(1, RESERVED_FRACTION * endpointShare);
    final int lent = Math.max(0, clientConnections - clientShare);
    return Math.max(reserved, endpointShare - lent);
  }
}
