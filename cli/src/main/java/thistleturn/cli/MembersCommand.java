package thistleturn.cli;

import static thistleturn.cli.JsonFields.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;

/** Prints the endpoints in a running courier's merged directory and the sources that list them. */
@Command(
    name = "members",
    mixinStandardHelpOptions = true,
    description = {
      "Who is in a running courier's pool, in which state, told by whom, how old, and why.",
      "The courier needs [admin] and [membership] in its file."
    })
final class MembersCommand extends AdminPageCommand {
  private static final long SECOND_MS = 1000;
  private static final long MINUTE_MS = 60 * SECOND_MS;
  private static final long HOUR_MS = 60 * MINUTE_MS;

  /** An age is printed in a unit only from this many units on, to keep two significant digits. */
  private static final long MIN_UNITS = 10;

  MembersCommand() {
    super("members", "membership is off there");
  }

  @Override
  int printTable(final JsonNode status, final PrintWriter out) {
    sourceTable(status).print(out);
    out.println();
    memberTable(status).print(out);
    return ExitCode.OK;
  }

  private static Table sourceTable(final JsonNode status) {
    final Table table =
        new Table("SOURCE", "RANK", "STATE", "HEARD", "ENTRIES", "DOUBTED", "LAST FAILURE");
    for (final JsonNode source : status.path("sources")) {
      table.addRow(
          text(source, "name"),
          text(source, "rank"),
          text(source, "state"),
          age(source, "heard_ms_ago"),
          text(source, "entries"),
          text(source, "doubted"),
          text(source.path("registry"), "last_failure"));
    }
    return table;
  }

  private Table memberTable(final JsonNode status) {
    final Table table =
        new Table("DESTINATION", "ADDRESS", "ZONE", "STATE", "SINCE", "TOLD BY", "HEARD", "WHY");
    for (final JsonNode member : status.path("members")) {
      if (options().includes(member)) {
        table.addRow(
            text(member, "destination"),
            text(member, "address"),
            text(member, "zone"),
            text(member, "state"),
            age(member, "since_ms_ago"),
            text(member, "by"),
            age(member, "heard_ms_ago"),
            explain(text(member, "because")));
      }
    }
    return table;
  }

  private static String age(final JsonNode object, final String field) {
    final long ageMs = object.path(field).asLong();
    if (ageMs < 0) {
      return "never";
    }
    if (ageMs < MIN_UNITS * SECOND_MS) {
      return ageMs + " ms";
    }
    if (ageMs < MIN_UNITS * MINUTE_MS) {
      return ageMs / SECOND_MS + " s";
    }
    if (ageMs < MIN_UNITS * HOUR_MS) {
      return ageMs / MINUTE_MS + " min";
    }
    return ageMs / HOUR_MS + " h";
  }

  /** The text shown for a reason of {@link thistleturn.decisions.membership.Membership}. */
  private static String explain(final String reason) {
    return switch (reason) {
      case "said" -> "said so, and nobody says otherwise";
      case "caution" -> "sources disagree; the more cautious word counts";
      case "warning_expired" -> "a source warned and fell silent; another says it is up";
      case "deleted" -> "a source deleted it a short while ago";
      case "flapping" -> "up again, but it fell too often of late";
      case "stale" -> "its source is not heard; used as last known";
      case "stale_spared" -> "its source is not heard for long; others are fresher";
      case "last_resort" -> "its source is not heard for long; the destination has nothing better";
      case "doubted" -> "absent from an answer that is not plausible";
      case "contested" -> "a source of higher rank has its address for another destination";
      case "unlisted" -> "no source lists it any more";
      default -> reason;
    };
  }
}
