package thistleturn.decisions.fleet;

/** What follows from the number of couriers alone. The bounds are defaults found by simulation. */
public final class FleetSize {
  /** The most couriers that each meet all destinations often, and may all keep idle connections. */
  private static final int MAX_SMALL = 6;

  /** The most couriers among which the shares of a rate limit are still several calls a second. */
  private static final int MAX_MEDIUM = 25;

  /**
   * Connections that all couriers together keep idle at an endpoint: half of what the smallest
   * endpoints accept.
   */
  private static final double IDLE_CONNECTIONS_PER_ENDPOINT = 4;

  private FleetSize() {}

  /** True where what each courier may do alone is too much if all do it. */
  public static boolean isLarge(final int couriers) {
    return couriers > MAX_SMALL;
  }

  /**
   * True where a courier's share of a rate may be so thin that single messages decide whether it is
   * exceeded.
   */
  public static boolean isVast(final int couriers) {
    return couriers > MAX_MEDIUM;
  }

  /** The share of the couriers that may each keep one idle connection to a destination. */
  public static double idleConnectionShare(final int endpoints, final int couriers) {
    return IDLE_CONNECTIONS_PER_ENDPOINT * endpoints / couriers;
  }
}
