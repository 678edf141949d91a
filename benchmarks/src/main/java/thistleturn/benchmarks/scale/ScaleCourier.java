package thistleturn.benchmarks.scale;

import thistleturn.courier.Main;
import thistleturn.courier.runtime.CourierOptions;

/**
 * Entry point of the measured courier. Arguments: number of shards, idle timeout in us, and the
 * clients' share of the descriptors.
 */
final class ScaleCourier {
  private static final double MAX_TOTAL_SHARE = 0.94;
  private static final double MAX_ENDPOINT_SHARE = 0.4;

  private ScaleCourier() {}

  public static void main(final String[] args) throws Exception {
    final double clientShare = Double.parseDouble(args[2]);
    Main.serve(
        System.getenv(),
        null,
        new CourierOptions(
            Long.parseLong(args[1]),
            clientShare,
            Math.min(MAX_ENDPOINT_SHARE, MAX_TOTAL_SHARE - clientShare),
            Integer.parseInt(args[0]),
            false));
  }
}
