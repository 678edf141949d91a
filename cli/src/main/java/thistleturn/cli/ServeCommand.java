package thistleturn.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.cli.config.ProductConfig;
import thistleturn.courier.CourierOptions;
import thistleturn.courier.runtime.ConfigurationException;

/** Runs a courier until it is ended. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = {
      "Runs a courier until it is ended: SIGHUP reads the files again, SIGTERM ends it in order.",
      "The platform's part comes from the environment (PROXY_CONFIG, PROXY_LISTEN, PROXY_DISCOVERY, "
          + "PROXY_STATE)."
    })
final class ServeCommand implements Callable<Integer> {
  /** No exit code: the process goes on. */
  static final int SERVES = -1;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description =
          "the product's settings, such as deploy/thistleturn.toml; without it every subsystem is off")
  private Path file;

  @Override
  public Integer call() throws IOException, ConfigurationException {
    if (file == null) {
      thistleturn.courier.Main.serve(System.getenv(), null, CourierOptions.platformDefaults());
      return SERVES;
    }
    final ProductConfig config = ProductConfig.read(file);
    final boolean plain =
        config.admin() == null && config.membership() == null && config.peers() == null;
    thistleturn.courier.Main.serve(
        System.getenv(), plain ? null : new ProductExtension(config, file), config.tuning());
    return SERVES;
  }
}
