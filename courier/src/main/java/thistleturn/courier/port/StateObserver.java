package thistleturn.courier.port;

import java.io.IOException;

/**
 * A subsystem that observes what this courier learns of destinations and endpoints. All methods are
 * called on the courier's first event loop.
 */
public interface StateObserver {
  /** The endpoint list was received: directives on what it names take effect from now on. */
  void onEndpointsListed();

  /** A destination asked to wait until this time, in microseconds of the loop's clock. */
  void onRetryAfter(long destination, long untilUs);

  /** A destination reported how many calls per second it takes from all couriers together. */
  void onRateLimit(long destination, double callsPerSecond);

  /**
   * This courier found a destination unavailable, or available again, by its own calls and not by a
   * directive.
   */
  void onOutageChanged(long destination, boolean isOut);

  /**
   * An operator disabled an endpoint here, or enabled it again.
   *
   * @throws IOException if that cannot be stored; then the operator is told so, and nothing changes
   */
  void onEndpointDisabled(String endpoint, boolean disabled) throws IOException;
}
