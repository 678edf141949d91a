package thistleturn.cli;

import static thistleturn.cli.JsonFields.decimal;
import static thistleturn.cli.JsonFields.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;

/** Prints a running courier's view of its own health: scheduling delays and connectivity. */
@Command(
    name = "health",
    mixinStandardHelpOptions = true,
    description =
        "How a running courier itself is: well, late, away, "
            + "starved or cut off, since when, and by which evidence.")
final class HealthCommand extends AdminPageCommand {
  private static final String FORMAT = "%.2f";

  HealthCommand() {
    super("health", "it is of a version without this page");
  }

  @Override
  int printTable(final JsonNode health, final PrintWriter out) {
    final Table table =
        new Table("STATE", "FOR S", "AWAY SHARE", "LAST AWAY S", "HOLDS", "MAY HOLD", "EVIDENCE");
    table.addRow(
        text(health, "state"),
        decimal(health, "for_s", FORMAT),
        decimal(health, "away_share", FORMAT),
        decimal(health, "last_away_s", FORMAT),
        text(health, "holds"),
        text(health, "may_hold"),
        text(health, "evidence"));
    table.print(out);
    return ExitCode.OK;
  }
}
