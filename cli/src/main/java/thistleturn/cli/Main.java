package thistleturn.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The entry point of {@code bin/thistleturn}, and its top-level command. */
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

  /** The parser of all commands; an exception becomes one line on stderr and an exit code. */
  static CommandLine commandLine() {
    final CommandLine commandLine = new CommandLine(new Main());
    return commandLine.setExecutionExceptionHandler(
        (failure, command, parseResult) -> {
          command
              .getErr()
              .println(failure.getMessage() == null ? failure.toString() : failure.getMessage());
          return failure instanceof IllegalArgumentException
              ? CommandLine.ExitCode.USAGE
              : CommandLine.ExitCode.SOFTWARE;
        });
  }

  /** Runs one command and exits with its code. */
  public static void main(final String[] args) {
    final int exitCode = commandLine().execute(args);
    // A courier keeps running on its own threads; every other command has finished.
    if (exitCode != ServeCommand.KEEPS_RUNNING) {
      System.exit(exitCode);
    }
  }
}
