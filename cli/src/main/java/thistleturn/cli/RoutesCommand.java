package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** How a running courier's destinations are, and why nothing goes there now. */
@Command(
    name = "routes",
    aliases = "lanes",
    mixinStandardHelpOptions = true,
    description =
        "How each destination is: its window, what its "
            + "refusals answer to, and what keeps the next message.")
final class RoutesCommand implements Callable<Integer> {
  @Mixin private AdminOptions asked;

  @Option(
      names = "--said",
      description = "and what binds each from outside: what, by whom, for how long")
  private boolean said;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException {
    final JsonNode lanes =
        AdminClient.ask(asked.address, "lanes", "it is of a version without this page");
    final PrintWriter out = spec.commandLine().getOut();
    if (asked.json) {
      out.println(lanes.toPrettyString());
      return 0;
    }
    final List<String[]> rows = new ArrayList<>();
    rows.add(
        new String[] {
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
          "NOW"
        });
    for (final JsonNode lane : lanes) {
      if (asked.wants(lane)) {
        rows.add(
            new String[] {
              lane.path("destination").asText(),
              lane.path("phase").asText(),
              lane.path("in_flight").asText(),
              figure(lane, "window", "%.1f"),
              lane.path("waiting").asText(),
              figure(lane, "served_per_s", "%.1f"),
              lane.has("spacing_per_s") ? figure(lane, "spacing_per_s", "%.1f") : "-",
              figure(lane, "refused_share", "%.3f"),
              lane.path("cause").asText(),
              figure(lane, "evidence", "%+.1f"),
              lane.path("why").asText()
            });
      }
    }
    Table.print(out, rows);
    if (said) {
      final List<String[]> words = new ArrayList<>();
      words.add(new String[] {"DESTINATION", "ENDPOINT", "WHAT", "VALUE", "BY", "FOR S"});
      for (final JsonNode lane : lanes) {
        for (final JsonNode word : asked.wants(lane) ? lane.path("said") : lane.path("")) {
          words.add(
              new String[] {
                lane.path("destination").asText(),
                word.has("endpoint") ? word.path("endpoint").asText() : "-",
                word.path("what").asText(),
                word.path("value").asDouble() == 0 ? "-" : figure(word, "value", "%.2f"),
                word.path("by").asText(),
                word.has("for_s") ? figure(word, "for_s", "%.1f") : "until taken back"
              });
        }
      }
      out.println();
      Table.print(out, words);
    }
    return 0;
  }

  private static String figure(final JsonNode lane, final String name, final String format) {
    return String.format(Locale.ROOT, format, lane.path(name).asDouble());
  }
}
