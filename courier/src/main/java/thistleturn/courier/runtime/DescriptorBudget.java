package thistleturn.courier.runtime;

/**
 * The descriptors that clients and endpoints share. Either side has its own part; what the
 * endpoints leave of theirs is lent to clients, down to half, and asked back by closing what is of
 * least use. Used on one event loop.
 */
public final class DescriptorBudget {
  /** Share of the endpoints' part that is never lent. */
  private static final double RESERVED_FRACTION = 0.5;

  private final int clientShare;
  private final int endpointShare;
  private int clientConnections;
  private int endpointConnections;

  /** The two parts, each at least 1. */
  public DescriptorBudget(final int clientsPart, final int endpointsPart) {
    this.clientShare = clientsPart;
    this.endpointShare = endpointsPart;
  }

  /** So many more connections to endpoints stand or come up; below 0: fewer. */
  public void addEndpointConnections(final int change) {
    endpointConnections += change;
  }

  /** True if no further connection to an endpoint may be made now. */
  public boolean isEndpointLimitReached() {
    return endpointConnections >= maxEndpointConnections();
  }

  /** So many clients are connected. */
  public void setClientConnections(final int now) {
    clientConnections = now;
  }

  /** Clients' connections that may stand now. */
  public int maxClientConnections() {
    return clientShare
        + endpointShare
        - Math.max(endpointConnections, (int) (RESERVED_FRACTION * endpointShare));
  }

  /** Connections to endpoints that may stand now; at least half of their part. */
  private int maxEndpointConnections() {
    return Math.max(
        (int) Math.max(1, RESERVED_FRACTION * endpointShare),
        endpointShare - Math.max(0, clientConnections - clientShare));
  }
}
