package thistleturn.decisions.fleet;

/** Derives behaviour from the number of couriers. The bounds are defaults found by simulation. */
public final class FleetSize {
  /** Most couriers that each call all destinations often and may all keep idle connections. */
  private static final int MAX_SMALL = 6;

  /** Most couriers for which each share of a rate limit is still several calls a second. */
  private static final int MAX_MEDIUM = 25;

  /**
   * Connections that all couriers together keep idle at an endpoint: half of what the smallest
   * endpoints accept.
   */
  private static final double IDLE_CONNECTIONS_PER_ENDPOINT = 4;

  private FleetSize() {}

  /** Returns whether the fleet is so large that its couriers must limit their combined load. */
  public static boolean isLarge(final int couriers) {
    return couriers > MAX_SMALL;
  }

  /**
   * Returns whether the fleet is so large that a courier's share of a rate may be small enough for
   * single messages to exceed it.
   */
  public static boolean isVast(final int couriers) {
    return couriers > MAX_MEDIUM;
  }

  /** Returns the share of couriers that may each keep one idle connection to a destination. */
  public static double idleConnectionShare(final int endpoints, final int couriers) {
    return IDLE_CONNECTIONS_PER_ENDPOINT * endpoints / couriers;
  }
}
