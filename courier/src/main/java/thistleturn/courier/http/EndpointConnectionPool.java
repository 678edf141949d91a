package thistleturn.courier.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.pools.ResponseTimes;

/** The idle connections to one endpoint, its address, its state and its times. */
final class EndpointConnectionPool {
  /** The weight of one handshake in the moving average. */
  private static final double HANDSHAKE_SMOOTHING = 0.2;

  private final long endpoint;
  private final long destination;
  private final boolean separateRoute;
  private final Deque<EndpointConnection> idle = new ArrayDeque<>();
  private final ResponseTimes responseTimes = new ResponseTimes();
  private InetSocketAddress address;
  private Availability availability;
  private double handshakeUs;

  /** Whether calls may be sent to the endpoint. */
  private enum Availability {
    ACCEPTING_CALLS,
    DRAINING,
    REMOVED
  }

  EndpointConnectionPool(
      final Endpoint endpoint, final boolean separateRoute, final InetSocketAddress address) {
    this.endpoint = endpoint.id();
    this.destination = endpoint.destinationId();
    this.separateRoute = separateRoute;
    this.address = address;
    updateState(endpoint.state());
  }

  long endpoint() {
    return endpoint;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Applies the state that the endpoint list reports. */
  void updateState(final EndpointState state) {
    availability =
        state == EndpointState.LISTED ? Availability.ACCEPTING_CALLS : Availability.DRAINING;
  }

  /** Uses another address from now on; returns false if it is the same. */
  boolean updateAddress(final InetSocketAddress latest) {
    final boolean changed = !address.equals(latest);
    address = latest;
    return changed;
  }

  /** Records that the endpoint list no longer contains the endpoint. */
  void markRemoved() {
    availability = Availability.REMOVED;
  }

  /** True if the endpoint is listed and not draining. */
  boolean acceptsCalls() {
    return availability == Availability.ACCEPTING_CALLS;
  }

  boolean isRemoved() {
    return availability == Availability.REMOVED;
  }

  /** True if a Retry-After of this endpoint also applies to calls to the other one. */
  boolean sharesRetryAfterWith(final EndpointConnectionPool other) {
    return separateRoute ? other == this : other.destination == destination;
  }

  /** Records how long it took to establish a connection. */
  void recordHandshake(final long durationUs) {
    handshakeUs += handshakeUs == 0 ? durationUs : HANDSHAKE_SMOOTHING * (durationUs - handshakeUs);
  }

  /** The smoothed duration of a handshake, us; 0 if no connection has been established. */
  double handshakeUs() {
    return handshakeUs;
  }

  /** How long the endpoint takes to respond to a call. */
  ResponseTimes responseTimes() {
    return responseTimes;
  }

  boolean hasIdle() {
    return !idle.isEmpty();
  }

  /** Adds an idle connection as the most recently used one. */
  void addIdle(final EndpointConnection connection) {
    idle.addLast(connection);
  }

  void removeIdle(final EndpointConnection connection) {
    idle.remove(connection);
  }

  /** The idle connections, the most recently used first; the iterator removes from the pool. */
  Iterator<EndpointConnection> latestUsedFirst() {
    return idle.descendingIterator();
  }

  /** A copy of the idle connections. */
  List<EndpointConnection> idleSnapshot() {
    return List.copyOf(idle);
  }
}
