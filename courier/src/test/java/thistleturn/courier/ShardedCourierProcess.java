package thistleturn.courier;

import java.io.IOException;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierOptions;

/** The courier as a process of its own, as {@link Main} runs it, with several shards. */
final class ShardedCourierProcess {
  static final int SHARDS = 4;

  private ShardedCourierProcess() {}

  /** Runs a courier with the configuration that the environment names, until it is ended. */
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
