package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * A command that fetches one page of a running courier's admin address and prints it, either as
 * JSON or as a table.
 */
abstract class AdminPageCommand implements Callable<Integer> {
  private final String page;
  private final String missingReason;

  @Mixin private AdminOptions options;
  @Spec private CommandSpec spec;

  /**
   * Creates the command.
   *
   * @param page the page's path, without the leading slash
   * @param missingReason why a courier may not have this page, for the error message
   */
  AdminPageCommand(final String page, final String missingReason) {
    this.page = page;
    this.missingReason = missingReason;
  }

  @Override
  public Integer call() throws InterruptedException {
    return print(fetch());
  }

  /** Prints the page's content in the requested form and returns the exit code. */
  final int print(final JsonNode content) {
    if (options.json()) {
      out().println(content.toPrettyString());
      return ExitCode.OK;
    }
    return printTable(content, out());
  }

  /** Prints the page's content as text and returns the exit code. */
  abstract int printTable(JsonNode content, PrintWriter out);

  /** Fetches the page. */
  final JsonNode fetch() throws InterruptedException {
    return AdminClient.fetch(options.address(), page, missingReason);
  }

  final AdminOptions options() {
    return options;
  }

  final PrintWriter out() {
    return spec.commandLine().getOut();
  }
}
