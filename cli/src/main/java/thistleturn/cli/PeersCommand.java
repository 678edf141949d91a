package thistleturn.cli;

import static thistleturn.cli.JsonFields.decimal;
import static thistleturn.cli.JsonFields.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** Prints the members of the fleet as one of its couriers sees them. */
@Command(
    name = "peers",
    mixinStandardHelpOptions = true,
    description = {
      "Who is in the fleet, as a running courier knows: in which "
          + "state, since when, by whose word, and how each says that it is itself.",
      "The courier needs [admin] and [peers] in its file."
    })
final class PeersCommand extends AdminPageCommand {
  private static final long WATCH_INTERVAL_MS = 1000;

  @Option(
      names = "--matrix",
      description = "who hears whom: rows hear columns; . heard, s silent, E ended there, - itself")
  private boolean matrix;

  @Option(names = "--watch", description = "again each second, until it is interrupted")
  private boolean watch;

  PeersCommand() {
    super("peers", "peers are off there");
  }

  @Override
  public Integer call() throws InterruptedException {
    int exitCode = printOnce();
    while (watch) {
      TimeUnit.MILLISECONDS.sleep(WATCH_INTERVAL_MS);
      out().println();
      exitCode = printOnce();
    }
    return exitCode;
  }

  private int printOnce() throws InterruptedException {
    final int exitCode = print(fetch());
    out().flush();
    return exitCode;
  }

  @Override
  int printTable(final JsonNode status, final PrintWriter out) {
    out.println(
        text(status, "name")
            + " at "
            + text(status, "address")
            + ": "
            + text(status, "standing")
            + describeView(status));
    final Table table = matrix ? reachabilityMatrix(status) : peerTable(status);
    table.print(out);
    return ExitCode.OK;
  }

  private static String describeView(final JsonNode status) {
    final JsonNode view = status.path("view");
    if (view.isMissingNode()) {
      return ", no view yet";
    }
    return ", view "
        + text(view, "generation")
        + "."
        + text(view, "number")
        + " of "
        + view.path("members").size()
        + ", hears of "
        + text(status, "reached");
  }

  private static Table peerTable(final JsonNode status) {
    final Table table =
        new Table(
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
            "INCARNATION");
    for (final JsonNode peer : status.path("peers")) {
      table.addRow(
          text(peer, "name"),
          text(peer, "state"),
          seconds(peer.path("for_ms").asLong()),
          text(peer, "here"),
          suspecters(peer),
          decimal(peer, "round_trip_ms", "%.1f"),
          text(peer, "health") + (peer.path("stuck").asBoolean() ? ", ends nothing" : ""),
          text(peer, "away_ms"),
          text(peer, "holds"),
          text(peer, "address"),
          text(peer, "incarnation"));
    }
    return table;
  }

  /** The peers that suspect this one, each with what it observed. */
  private static String suspecters(final JsonNode peer) {
    final List<String> suspecters = new ArrayList<>();
    for (final JsonNode suspicion : peer.path("doubts")) {
      suspecters.add(text(suspicion, "by") + " (" + text(suspicion, "sight") + ")");
    }
    return String.join(" ", suspecters);
  }

  private static String seconds(final long ms) {
    return String.format(Locale.ROOT, "%.1f", ms / 1000.0);
  }

  /** Which peers each peer receives from: a row for each observer, a column for each subject. */
  private static Table reachabilityMatrix(final JsonNode status) {
    final Map<String, Map<String, String>> suspicionsBySubject = suspicionsBySubject(status);
    final List<String> names = List.copyOf(suspicionsBySubject.keySet());
    final List<String> headings = new ArrayList<>(names);
    headings.add(0, "HEARS");
    final Table table = new Table(headings.toArray(String[]::new));
    for (final String observer : names) {
      final List<String> row = new ArrayList<>();
      row.add(observer);
      for (final String subject : names) {
        row.add(
            observer.equals(subject)
                ? "-"
                : suspicionsBySubject.get(subject).getOrDefault(observer, "."));
      }
      table.addRow(row.toArray(String[]::new));
    }
    return table;
  }

  /** For each peer that is not dead and has not left, the matrix cells of those suspecting it. */
  private static Map<String, Map<String, String>> suspicionsBySubject(final JsonNode status) {
    final Map<String, Map<String, String>> suspicionsBySubject = new TreeMap<>();
    // The page has no suspicions of the courier that serves it.
    suspicionsBySubject.put(text(status, "name"), Map.of());
    for (final JsonNode peer : status.path("peers")) {
      final String state = text(peer, "state");
      if (!state.equals("dead") && !state.equals("left")) {
        final Map<String, String> cells = new TreeMap<>();
        for (final JsonNode suspicion : peer.path("doubts")) {
          cells.put(text(suspicion, "by"), text(suspicion, "sight").equals("ended") ? "E" : "s");
        }
        suspicionsBySubject.put(text(peer, "name"), cells);
      }
    }
    return suspicionsBySubject;
  }
}
