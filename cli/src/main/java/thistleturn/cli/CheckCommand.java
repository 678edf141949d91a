package thistleturn.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import thistleturn.cli.config.ProductConfig;

/** Reads a file as a start would. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Reads a file of settings as a start would, and says what it switches on.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "such as deploy/thistleturn.toml")
  private Path file;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    final ProductConfig config = ProductConfig.read(file);
    final String membership =
        config.membership() == null
            ? "off"
            : config.membership().registries().size()
                + " registries"
                + (config.membership().registration() == null ? "" : ", registers itself");
    spec.commandLine()
        .getOut()
        .println(
            file
                + ": good (admin "
                + (config.admin() == null ? "off" : config.admin())
                + "; membership "
                + membership
                + "; peers "
                + (config.peers() == null
                    ? "off"
                    : config.peers().listenAddress()
                        + ", "
                        + config.peers().seeds().size()
                        + " seeds")
                + ")");
    return 0;
  }
}
