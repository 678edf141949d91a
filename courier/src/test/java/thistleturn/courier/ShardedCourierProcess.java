package thistleturn.courier;

import java.io.IOException;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierOptions;

/** Runs a courier with several shards as a separate process, otherwise as {@link Main} does. */
final class ShardedCourierProcess {
  static final int SHARDS = 4;

  private ShardedCourierProcess() {}

  /** Runs a courier with the configuration that the environment names, until it is terminated. */
  public static void main(final String[] arguments) throws IOException, ConfigurationException {
    final CourierOptions platform = CourierOptions.platformDefaults();
    Main.serve(
        System.getenv(),
        null,
        new CourierOptions(
            platform.clientIdleTimeoutUs(),
            platform.clientDescriptorShare(),
            platform.endpointDescriptorShare(),
            SHARDS,
            platform.retainsLearnedState()));
  }
}
