package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Who is in the fleet, as one courier of it knows. */
@Command(
    name = "peers",
    mixinStandardHelpOptions = true,
    description = {
      "Who is in the fleet, as a running courier knows: in which "
          + "state, since when, by whose word, and how each says that it is itself.",
      "The courier needs [admin] and [peers] in its file."
    })
final class PeersCommand implements Callable<Integer> {
  private static final long WATCH_MS = 1000;

  @Mixin private AdminOptions asked;

  @Option(
      names = "--matrix",
      description = "who hears whom: rows hear columns; . heard, s silent, E ended there, - itself")
  private boolean matrix;

  @Option(names = "--watch", description = "again each second, until it is interrupted")
  private boolean watch;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException {
    final PrintWriter out = spec.commandLine().getOut();
    while (true) {
      final JsonNode status = AdminClient.ask(asked.address, "peers", "peers are off there");
      if (asked.json) {
        out.println(status.toPrettyString());
      } else {
        print(out, status);
      }
      out.flush();
      if (!watch) {
        return 0;
      }
      TimeUnit.MILLISECONDS.sleep(WATCH_MS);
      out.println();
    }
  }

  private void print(final PrintWriter out, final JsonNode status) {
    final JsonNode view = status.path("view");
    out.println(
        status.path("name").asText()
            + " at "
            + status.path("address").asText()
            + ": "
            + status.path("standing").asText()
            + (view.isMissingNode()
                ? ", no view yet"
                : ", view "
                    + view.path("generation").asText()
                    + "."
                    + view.path("number").asText()
                    + " of "
                    + view.path("members").size()
                    + ", hears of "
                    + status.path("reached").asText()));
    if (matrix) {
      Table.print(out, matrix(status));
      return;
    }
    final List<String[]> rows = new ArrayList<>();
    rows.add(
        new String[] {
          "NAME",
          "STATE",
          "FOR S",
          "HERE",
          "NOT HEARD BY",
          "ROUND TRIP MS",
          "HEALTH",
          "AWAY MS",
          "HOLDS",
          "ADDRESS",
          "INCARNATION"
        });
    for (final JsonNode peer : status.path("peers")) {
      final List<String> by = new ArrayList<>();
      peer.path("doubts")
          .forEach(
              doubt ->
                  by.add(doubt.path("by").asText() + " (" + doubt.path("sight").asText() + ")"));
      rows.add(
          new String[] {
            peer.path("name").asText(),
            peer.path("state").asText(),
            seconds(peer.path("for_ms").asLong()),
            peer.path("here").asText(),
            String.join(" ", by),
            String.format(Locale.ROOT, "%.1f", peer.path("round_trip_ms").asDouble()),
            peer.path("health").asText() + (peer.path("stuck").asBoolean() ? ", ends nothing" : ""),
            peer.path("away_ms").asText(),
            peer.path("holds").asText(),
            peer.path("address").asText(),
            peer.path("incarnation").asText()
          });
    }
    Table.print(out, rows);
  }

  private static String seconds(final long ms) {
    return String.format(Locale.ROOT, "%.1f", ms / 1000.0);
  }

  /** Rows hear columns; who watches nobody says nothing. */
  private static List<String[]> matrix(final JsonNode status) {
    final Map<String, Map<String, String>> columns = new TreeMap<>();
    columns.put(status.path("name").asText(), Map.of());
    for (final JsonNode peer : status.path("peers")) {
      final String state = peer.path("state").asText();
      if (!state.equals("dead") && !state.equals("left")) {
        final Map<String, String> cells = new TreeMap<>();
        peer.path("doubts")
            .forEach(
                doubt ->
                    cells.put(
                        doubt.path("by").asText(),
                        doubt.path("sight").asText().equals("ended") ? "E" : "s"));
        columns.put(peer.path("name").asText(), cells);
      }
    }
    final List<String[]> rows = new ArrayList<>();
    final List<String> names = List.copyOf(columns.keySet());
    final List<String> head = new ArrayList<>(names);
    head.add(0, "HEARS");
    rows.add(head.toArray(String[]::new));
    for (final String observer : names) {
      final List<String> row = new ArrayList<>();
      row.add(observer);
      for (final String subject : names) {
        row.add(observer.equals(subject) ? "-" : columns.get(subject).getOrDefault(observer, "."));
      }
      rows.add(row.toArray(String[]::new));
    }
    return rows;
  }
}
