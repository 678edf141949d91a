package thistleturn.courier.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import thistleturn.decisions.model.Endpoint;

/** The connections to one endpoint; its fields are the {@link HttpDispatcher}'s to change. */
final class EndpointConnectionPool {
  /** Of one handshake in the mean. */
  private static final double HANDSHAKE_SMOOTHING = 0.2;

  final long endpoint;
  final long destination;
  final boolean separateRoute;
  InetSocketAddress address;

  /** Idle ones, the one used last at the end. */
  final Deque<EndpointConnection> idleConnections = new ArrayDeque<>();

  boolean removed;

  /** The list names it as one that wants new calls: not while it drains, nor once it is gone. */
  boolean acceptsCalls = true;

  private double handshakeUs;

  EndpointConnectionPool(
      final Endpoint entry, final boolean apart, final InetSocketAddress address) {
    this.endpoint = entry.id();
    this.destination = entry.destinationId();
    this.separateRoute = apart;
    this.address = address;
  }

  /** A connection was made in so long, us. */
  void recordHandshake(final long us) {
    handshakeUs += handshakeUs == 0 ? us : HANDSHAKE_SMOOTHING * (us - handshakeUs);
  }

  /** How long that takes, smoothed; 0: none was made yet. */
  double handshakeUs() {
    return handshakeUs;
  }
}
