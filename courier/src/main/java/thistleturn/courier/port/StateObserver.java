package thistleturn.courier.port;

import java.io.IOException;

/**
 * A subsystem that is notified of what this courier learns about destinations and endpoints. All
 * methods are called on the courier's first event loop.
 */
public interface StateObserver {
  /**
   * The endpoint list was received: directives on its destinations and endpoints take effect from
   * now on.
   */
  void onEndpointsListed();

  /**
   * A destination sent a Retry-After that ends at this time, in microseconds of the loop's clock.
   */
  void onRetryAfter(long destination, long untilUs);

  /** A destination reported how many calls per second it accepts from all couriers together. */
  void onRateLimit(long destination, double callsPerSecond);

  /**
   * This courier found a destination unavailable, or available again, from its own calls and not
   * from a directive.
   */
  void onOutageChanged(long destination, boolean isOut);

  /**
   * An operator of this courier disabled or enabled an endpoint.
   *
   * @throws IOException if that cannot be stored; then the operator receives the error and nothing
   *     changes
   */
  void onEndpointDisabled(String endpoint, boolean disabled) throws IOException;
}
