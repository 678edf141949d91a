package thistleturn.courier.runtime;

/**
 * The descriptors that clients and endpoints share. Either side has its own part; what the
 * endpoints leave of theirs is lent to clients, down to half, and asked back by closing what is of
 * least use. Used on one event loop.
 */
public final class Descriptors {
  /** Share of the endpoints' part that is never lent. */
  private static final double KEPT_SHARE = 0.5;

  private final int clientsPart;
  private final int endpointsPart;
  private int clients;
  private int endpoints;

  /** The two parts, each at least 1. */
  public Descriptors(final int clientsPart, final int endpointsPart) {
    this.clientsPart = clientsPart;
    this.endpointsPart = endpointsPart;
  }

  /** So many more connections to endpoints stand or come up; below 0: fewer. */
  public void endpoints(final int change) {
    endpoints += change;
  }

  /** True if no further connection to an endpoint may be made now. */
  public boolean isFullOfEndpoints() {
    return endpoints >= mostEndpoints();
  }

  /** So many clients are connected. */
  public void clients(final int now) {
    clients = now;
  }

  /** Clients' connections that may stand now. */
  public int mostClients() {
    return clientsPart + endpointsPart - Math.max(endpoints, (int) (KEPT_SHARE * endpointsPart));
  }

  /** Connections to endpoints that may stand now; at least half of their part. */
  private int mostEndpoints() {
    return Math.max(
        (int) Math.max(1, KEPT_SHARE * endpointsPart),
        endpointsPart - Math.max(0, clients - clientsPart));
  }
}
