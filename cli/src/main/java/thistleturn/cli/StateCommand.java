package thistleturn.cli;

import static thistleturn.cli.JsonFields.NONE;
import static thistleturn.cli.JsonFields.decimalOr;
import static thistleturn.cli.JsonFields.joined;
import static thistleturn.cli.JsonFields.text;
import static thistleturn.cli.JsonFields.texts;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints and compares the state that the couriers of a fleet replicate. */
@Command(
    name = "state",
    mixinStandardHelpOptions = true,
    description = {
      "What the fleet holds of what its couriers were told and have learnt.",
      "The couriers need [admin], [peers] and [replicas] in their files."
    },
    subcommands = {StateCommand.Show.class, StateCommand.Diff.class, StateCommand.Why.class})
final class StateCommand implements Callable<Integer> {
  private static final String PAGE = "state";
  private static final String MISSING_REASON = "replicas are off there";

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return ExitCode.USAGE;
  }

  private static String seconds(final JsonNode object, final String field) {
    return decimalOr(NONE, object, field, "%.1f");
  }

  /** Prints the effective value of each subject. */
  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "What is known, from whom, how old, and what counts of it.")
  static final class Show extends AdminPageCommand {
    Show() {
      super(PAGE, MISSING_REASON);
    }

    @Override
    int printTable(final JsonNode state, final PrintWriter out) {
      out.println(
          text(state, "writer") + ": " + text(state, "entries") + " entries, " + freshness(state));
      subjectTable(state).print(out);
      return ExitCode.OK;
    }

    private static String freshness(final JsonNode state) {
      return state.path("caught_up").asBoolean()
          ? "equal with another " + seconds(state, "together_s") + " s ago"
          : "old: not compared with another since its start";
    }

    private static Table subjectTable(final JsonNode state) {
      final Table table =
          new Table("KIND", "SUBJECT", "STATE", "VALUE", "FOR S", "LEFT S", "WORDS", "BY");
      for (final JsonNode subject : state.path("subjects")) {
        table.addRow(
            text(subject, "kind"),
            text(subject, "subject"),
            text(subject, "state") + (subject.path("conflict").asBoolean() ? ", disputed" : ""),
            subject.path("value").asDouble() == 0 ? NONE : text(subject, "value"),
            seconds(subject, "for_s"),
            seconds(subject, "left_s"),
            Integer.toString(subject.path("words").size()),
            joined(subject, "by"));
      }
      return table;
    }
  }

  /** Prints the entries in which the replicas of two couriers differ. */
  @Command(
      name = "diff",
      mixinStandardHelpOptions = true,
      description = "Which words one courier holds and the other does not.")
  static final class Diff implements Callable<Integer> {
    @Parameters(
        index = "0",
        paramLabel = "A",
        description = "where operators ask the one (admin.listen)")
    private String leftAddress;

    @Parameters(index = "1", paramLabel = "B", description = "and the other")
    private String rightAddress;

    @Spec private CommandSpec spec;

    /** Identifies an entry: its kind and subject, and the courier that wrote it. */
    private record EntryKey(String kind, String subject, String writer)
        implements Comparable<EntryKey> {
      private static final Comparator<EntryKey> ORDER =
          Comparator.comparing(EntryKey::kind)
              .thenComparing(EntryKey::subject)
              .thenComparing(EntryKey::writer);

      @Override
      public int compareTo(final EntryKey other) {
        return ORDER.compare(this, other);
      }
    }

    @Override
    public Integer call() throws InterruptedException {
      final PrintWriter out = spec.commandLine().getOut();
      final Map<EntryKey, String> left = fetchVersions(leftAddress);
      final Map<EntryKey, String> right = fetchVersions(rightAddress);
      final Table differences = differences(left, right);
      if (differences.isEmpty()) {
        out.println("both hold the same " + left.size() + " words");
        return ExitCode.OK;
      }
      differences.print(out);
      return ExitCode.SOFTWARE;
    }

    private Table differences(final Map<EntryKey, String> left, final Map<EntryKey, String> right) {
      final Table table = new Table("KIND", "SUBJECT", "WRITER", leftAddress, rightAddress);
      final Set<EntryKey> keys = new TreeSet<>(left.keySet());
      keys.addAll(right.keySet());
      for (final EntryKey key : keys) {
        final String leftVersion = left.getOrDefault(key, NONE);
        final String rightVersion = right.getOrDefault(key, NONE);
        if (!leftVersion.equals(rightVersion)) {
          table.addRow(key.kind(), key.subject(), key.writer(), leftVersion, rightVersion);
        }
      }
      return table;
    }

    /** The version of each entry in a courier's replica. */
    private static Map<EntryKey, String> fetchVersions(final String address)
        throws InterruptedException {
      final Map<EntryKey, String> versions = new HashMap<>();
      for (final JsonNode subject :
          AdminClient.fetch(address, PAGE, MISSING_REASON).path("subjects")) {
        for (final JsonNode entry : subject.path("words")) {
          versions.put(
              new EntryKey(text(subject, "kind"), text(subject, "subject"), text(entry, "writer")),
              text(entry, "version"));
        }
      }
      return versions;
    }
  }

  /** Prints all entries about one subject and the rule that merged them. */
  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description =
          "All that is said of an endpoint or destination, and what the rule makes of it.")
  static final class Why extends AdminPageCommand {
    @Parameters(paramLabel = "KEY", description = "an endpoint's name, or a destination's number")
    private String key;

    Why() {
      super(PAGE, MISSING_REASON);
    }

    /** Prints text with {@code --json} as well. */
    @Override
    public Integer call() throws InterruptedException {
      return printTable(fetch(), out());
    }

    @Override
    int printTable(final JsonNode state, final PrintWriter out) {
      boolean found = false;
      for (final JsonNode subject : state.path("subjects")) {
        if (text(subject, "subject").equals(key)) {
          found = true;
          out.println(
              text(subject, "kind") + ": " + text(subject, "state") + ": " + text(subject, "rule"));
          entryTable(subject).print(out);
        }
      }
      if (!found) {
        out.println("nobody says anything of " + key);
      }
      return found ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private static Table entryTable(final JsonNode subject) {
      final Table table = new Table("WRITER", "VERSION", "AGE S", "SAYS", "COUNTS");
      final List<String> effectiveWriters = texts(subject, "by");
      for (final JsonNode entry : subject.path("words")) {
        final String writer = text(entry, "writer");
        table.addRow(
            writer,
            text(entry, "version"),
            seconds(entry, "age_s"),
            joined(entry, "fields"),
            effectiveWriters.contains(writer) ? "yes" : "no");
      }
      return table;
    }
  }
}
