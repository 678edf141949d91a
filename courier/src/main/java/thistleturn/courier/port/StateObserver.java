package thistleturn.courier.port;

import java.io.IOException;

/**
 * A subsystem that hears what this courier is told and finds out. All methods are called on the
 * courier's first event loop.
 */
public interface StateObserver {
  /**
   * The list was told: what is said of endpoints and destinations that it names can count from now
   * on.
   */
  void onEndpointsListed();

  /** A destination told to wait until that moment, us. */
  void onRetryAfter(long destination, long untilUs);

  /** A destination told how many calls a second it takes from all couriers. */
  void onRateLimit(long destination, double perSecond);

  /**
   * A destination was found out here, or was found serving after it was; not by somebody else's
   * word.
   */
  void onOutageChanged(long destination, boolean isOut);

  /**
   * An operator left an endpoint out here, or lets it serve again.
   *
   * @throws IOException if that cannot be put down: then the operator is told so, and nothing has
   *     changed
   */
  void onEndpointDisabled(String endpoint, boolean leaveOut) throws IOException;
}
