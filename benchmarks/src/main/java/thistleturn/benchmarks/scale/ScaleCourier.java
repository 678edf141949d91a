package thistleturn.benchmarks.scale;

import thistleturn.courier.Main;
import thistleturn.courier.runtime.CourierOptions;

/**
 * A courier as the measurements start it: shards, idle time in us and clients' share of descriptors
 * as arguments.
 */
final class ScaleCourier {
  private static final double ALL = 0.94;
  private static final double MOST_ENDPOINTS = 0.4;

  private ScaleCourier() {}

  public static void main(final String[] args) throws Exception {
    final double clients = Double.parseDouble(args[2]);
    Main.serve(
        System.getenv(),
        null,
        new CourierOptions(
            Long.parseLong(args[1]),
            clients,
            Math.min(MOST_ENDPOINTS, ALL - clients),
            Integer.parseInt(args[0]),
            false));
  }
}
