package thistleturn.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import thistleturn.cli.config.ProductConfig;
import thistleturn.membership.MembershipSettings;
import thistleturn.peers.PeersSettings;

/** Validates a settings file without starting a courier. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Reads a file of settings as a start would, and says what it switches on.")
final class CheckCommand implements Callable<Integer> {
  private static final String OFF = "off";

  @Parameters(paramLabel = "FILE", description = "such as deploy/thistleturn.toml")
  private Path file;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    final ProductConfig config = ProductConfig.read(file);
    spec.commandLine()
        .getOut()
        .println(
            file
                + ": good (admin "
                + (config.admin() == null ? OFF : config.admin())
                + "; membership "
                + describe(config.membership())
                + "; peers "
                + describe(config.peers())
                + ")");
    return ExitCode.OK;
  }

  private static String describe(final MembershipSettings membership) {
    if (membership == null) {
      return OFF;
    }
    return membership.registries().size()
        + " registries"
        + (membership.registration() == null ? "" : ", registers itself");
  }

  private static String describe(final PeersSettings peers) {
    return peers == null ? OFF : peers.listenAddress() + ", " + peers.seeds().size() + " seeds";
  }
}
