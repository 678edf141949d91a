package thistleturn.decisions.fleet;

/** What the size of a fleet alone decides. */
public final class FleetSize {
  /**
   * Couriers that each meet all destinations often, and may all keep idle connections. A default.
   */
  private static final int FEW = 6;

  /** Couriers among which a told rate comes to parts that chance decides about. A default. */
  private static final int VAST = 25;

  /**
   * Connections that all couriers together keep idle at an endpoint: half of what the smallest
   * take. A default.
   */
  private static final double KEPT = 4;

  private FleetSize() {}

  /** True where what each courier may do alone is too much if all do it. */
  public static boolean isLarge(final int couriers) {
    return couriers > FEW;
  }

  /**
   * True where a courier's part of a rate may be so thin that single messages decide whether it is
   * kept to.
   */
  public static boolean isVast(final int couriers) {
    return couriers > VAST;
  }

  /**
   * The share of the couriers that may each keep one connection to a destination of so many
   * endpoints.
   */
  public static double idleConnectionShare(final int endpoints, final int couriers) {
    return KEPT * endpoints / couriers;
  }
}
