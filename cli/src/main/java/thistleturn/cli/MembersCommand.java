package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Who is in a running courier's pool. */
@Command(
    name = "members",
    mixinStandardHelpOptions = true,
    description = {
      "Who is in a running courier's pool, in which state, told by whom, how old, and why.",
      "The courier needs [admin] and [membership] in its file."
    })
final class MembersCommand implements Callable<Integer> {
  private static final long SECOND_MS = 1000;
  private static final long MINUTE_MS = 60 * SECOND_MS;
  private static final long HOUR_MS = 60 * MINUTE_MS;

  @Mixin private AdminOptions asked;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException {
    final JsonNode status = AdminClient.ask(asked.address, "members", "membership is off there");
    final PrintWriter out = spec.commandLine().getOut();
    if (asked.json) {
      out.println(status.toPrettyString());
    } else {
      print(out, status);
    }
    return 0;
  }

  private void print(final PrintWriter out, final JsonNode status) {
    final List<String[]> sources = new ArrayList<>();
    sources.add(
        new String[] {"SOURCE", "RANK", "STATE", "HEARD", "ENTRIES", "DOUBTED", "LAST FAILURE"});
    for (final JsonNode source : status.path("sources")) {
      sources.add(
          new String[] {
            source.path("name").asText(),
            source.path("rank").asText(),
            source.path("state").asText(),
            age(source.path("heard_ms_ago").asLong()),
            source.path("entries").asText(),
            source.path("doubted").asText(),
            source.path("registry").path("last_failure").asText()
          });
    }
    Table.print(out, sources);
    out.println();
    final List<String[]> members = new ArrayList<>();
    members.add(
        new String[] {
          "DESTINATION", "ADDRESS", "ZONE", "STATE", "SINCE", "TOLD BY", "HEARD", "WHY"
        });
    for (final JsonNode member : status.path("members")) {
      if (asked.wants(member)) {
        members.add(
            new String[] {
              member.path("destination").asText(),
              member.path("address").asText(),
              member.path("zone").asText(),
              member.path("state").asText(),
              age(member.path("since_ms_ago").asLong()),
              member.path("by").asText(),
              age(member.path("heard_ms_ago").asLong()),
              why(member.path("because").asText())
            });
      }
    }
    Table.print(out, members);
  }

  private static String age(final long ms) {
    return ms < 0
        ? "never"
        : ms < 10 * SECOND_MS
            ? ms + " ms"
            : ms < 10 * MINUTE_MS
                ? ms / SECOND_MS + " s"
                : ms < 10 * HOUR_MS ? ms / MINUTE_MS + " min" : ms / HOUR_MS + " h";
  }

  private static String why(final String because) {
    return switch (because) {
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
      default -> because;
    };
  }
}
