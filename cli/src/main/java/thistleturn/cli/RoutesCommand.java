package thistleturn.cli;

import static thistleturn.cli.JsonFields.NONE;
import static thistleturn.cli.JsonFields.decimal;
import static thistleturn.cli.JsonFields.decimalOr;
import static thistleturn.cli.JsonFields.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** Prints the state of a running courier's routes, one for each destination. */
@Command(
    name = "routes",
    aliases = "lanes",
    mixinStandardHelpOptions = true,
    description =
        "How each destination is: its window, what its "
            + "refusals answer to, and what keeps the next message.")
final class RoutesCommand extends AdminPageCommand {
  private static final String ONE_DIGIT = "%.1f";
  private static final String ONE_DIGIT_WITH_SIGN = "%+.1f";
  private static final String TWO_DIGITS = "%.2f";
  private static final String THREE_DIGITS = "%.3f";

  @Option(
      names = "--said",
      description = "and what binds each from outside: what, by whom, for how long")
  private boolean withConstraints;

  RoutesCommand() {
    super("lanes", "it is of a version without this page");
  }

  @Override
  int printTable(final JsonNode routes, final PrintWriter out) {
    routeTable(routes).print(out);
    if (withConstraints) {
      out.println();
      constraintTable(routes).print(out);
    }
    return ExitCode.OK;
  }

  private Table routeTable(final JsonNode routes) {
    final Table table =
        new Table(
            "DESTINATION",
            "PHASE",
            "IN FLIGHT",
            "WINDOW",
            "WAITING",
            "SERVED/S",
            "SPACED/S",
            "REFUSED",
            "READ AS",
            "EVIDENCE",
            "NOW");
    for (final JsonNode route : routes) {
      if (options().includes(route)) {
        table.addRow(
            text(route, "destination"),
            text(route, "phase"),
            text(route, "in_flight"),
            decimal(route, "window", ONE_DIGIT),
            text(route, "waiting"),
            decimal(route, "served_per_s", ONE_DIGIT),
            decimalOr(NONE, route, "spacing_per_s", ONE_DIGIT),
            decimal(route, "refused_share", THREE_DIGITS),
            text(route, "cause"),
            decimal(route, "evidence", ONE_DIGIT_WITH_SIGN),
            text(route, "why"));
      }
    }
    return table;
  }

  /** The limits that operators, endpoints and other couriers imposed on each route. */
  private Table constraintTable(final JsonNode routes) {
    final Table table = new Table("DESTINATION", "ENDPOINT", "WHAT", "VALUE", "BY", "FOR S");
    for (final JsonNode route : routes) {
      if (options().includes(route)) {
        for (final JsonNode constraint : route.path("said")) {
          table.addRow(
              text(route, "destination"),
              constraint.has("endpoint") ? text(constraint, "endpoint") : NONE,
              text(constraint, "what"),
              constraint.path("value").asDouble() == 0
                  ? NONE
                  : decimal(constraint, "value", TWO_DIGITS),
              text(constraint, "by"),
              decimalOr("until taken back", constraint, "for_s", ONE_DIGIT));
        }
      }
    }
    return table;
  }
}
