package thistleturn.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.cli.config.ProductConfig;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierOptions;

/** Starts a courier, which runs until the process receives a signal. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = {
      "Runs a courier until it is ended: SIGHUP reads the files again, SIGTERM ends it in order.",
      "The platform's part comes from the environment (PROXY_CONFIG, PROXY_LISTEN, PROXY_DISCOVERY, "
          + "PROXY_STATE)."
    })
final class ServeCommand implements Callable<Integer> {
  /** Stands for an exit code while the courier keeps the process running. */
  static final int KEEPS_RUNNING = -1;

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
      return KEEPS_RUNNING;
    }
    final ProductConfig config = ProductConfig.read(file);
    final boolean hasNoSubsystem =
        config.admin() == null && config.membership() == null && config.peers() == null;
    thistleturn.courier.Main.serve(
        System.getenv(),
        hasNoSubsystem ? null : new ProductExtension(config, file),
        config.tuning());
    return KEEPS_RUNNING;
  }
}
