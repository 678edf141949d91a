package thistleturn.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code bin/thistleturn}. */
@Command(
    name = "thistleturn",
    mixinStandardHelpOptions = true,
    version = "thistleturn 0.2.0",
    description = "A courier that delivers messages to many outside destinations under six rules.",
    subcommands = {
      ServeCommand.class,
      CheckCommand.class,
      MembersCommand.class,
      RoutesCommand.class,
      HealthCommand.class,
      PeersCommand.class,
      StateCommand.class,
      DemoCommand.class,
      CommandLine.HelpCommand.class
    },
    footer = {
      "",
      "  measure NAME   prints a table of docs/measurements (its own program; see measure --help)",
      "",
      "Exit codes: 0 done; 1 it failed, or a rule was broken; 2 the command or a file cannot be used."
    })
public final class Main {
  private Main() {}

  /** All commands; what one throws is a line of its own and an exit code. */
  static CommandLine commandLine() {
    final CommandLine line = new CommandLine(new Main());
    return line.setExecutionExceptionHandler(
        (failure, command, result) -> {
          command
              .getErr()
              .println(failure.getMessage() == null ? failure.toString() : failure.getMessage());
          return failure instanceof IllegalArgumentException
              ? CommandLine.ExitCode.USAGE
              : CommandLine.ExitCode.SOFTWARE;
        });
  }

  /** Runs one command. */
  public static void main(final String[] args) {
    final int code = commandLine().execute(args);
    // A courier serves on its own threads; every other command is done.
    if (code != ServeCommand.SERVES) {
      System.exit(code);
    }
  }
}
