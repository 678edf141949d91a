package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What the fleet holds, as one courier or two know it. */
@Command(
    name = "state",
    mixinStandardHelpOptions = true,
    description = {
      "What the fleet holds of what its couriers were told and have learnt.",
      "The couriers need [admin], [peers] and [replicas] in their files."
    },
    subcommands = {StateCommand.Show.class, StateCommand.Diff.class, StateCommand.Why.class})
final class StateCommand implements Callable<Integer> {
  private static final String OFF = "replicas are off there";
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return picocli.CommandLine.ExitCode.USAGE;
  }

  private static String seconds(final JsonNode of, final String name) {
    return of.has(name) ? String.format(Locale.ROOT, "%.1f", of.path(name).asDouble()) : "-";
  }

  private static String joined(final JsonNode texts) {
    final List<String> all = new ArrayList<>();
    texts.forEach(text -> all.add(text.asText()));
    return String.join(" ", all);
  }

  /** What counts, a line for each subject. */
  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "What is known, from whom, how old, and what counts of it.")
  static final class Show implements Callable<Integer> {
    @Mixin private AdminOptions asked;
    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
      final PrintWriter out = spec.commandLine().getOut();
      final JsonNode state = AdminClient.ask(asked.address, "state", OFF);
      if (asked.json) {
        out.println(state.toPrettyString());
        return 0;
      }
      out.println(
          state.path("writer").asText()
              + ": "
              + state.path("entries").asText()
              + " entries, "
              + (state.path("caught_up").asBoolean()
                  ? "equal with another " + seconds(state, "together_s") + " s ago"
                  : "old: not compared with another since its start"));
      final List<String[]> rows = new ArrayList<>();
      rows.add(
          new String[] {"KIND", "SUBJECT", "STATE", "VALUE", "FOR S", "LEFT S", "WORDS", "BY"});
      for (final JsonNode one : state.path("subjects")) {
        rows.add(
            new String[] {
              one.path("kind").asText(),
              one.path("subject").asText(),
              one.path("state").asText() + (one.path("conflict").asBoolean() ? ", disputed" : ""),
              one.path("value").asDouble() == 0 ? "-" : one.path("value").asText(),
              seconds(one, "for_s"),
              seconds(one, "left_s"),
              String.valueOf(one.path("words").size()),
              joined(one.path("by"))
            });
      }
      Table.print(out, rows);
      return 0;
    }
  }

  /** Where two copies differ. */
  @Command(
      name = "diff",
      mixinStandardHelpOptions = true,
      description = "Which words one courier holds and the other does not.")
  static final class Diff implements Callable<Integer> {
    @Parameters(
        index = "0",
        paramLabel = "A",
        description = "where operators ask the one (admin.listen)")
    private String one;

    @Parameters(index = "1", paramLabel = "B", description = "and the other")
    private String other;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
      final PrintWriter out = spec.commandLine().getOut();
      final Map<String, String> left = words(AdminClient.ask(one, "state", OFF));
      final Map<String, String> right = words(AdminClient.ask(other, "state", OFF));
      final List<String[]> rows = new ArrayList<>();
      rows.add(new String[] {"KIND", "SUBJECT", "WRITER", one, other});
      final Map<String, String> all = new TreeMap<>(left);
      all.putAll(right);
      for (final String word : all.keySet()) {
        final String here = left.getOrDefault(word, "-");
        final String there = right.getOrDefault(word, "-");
        if (!here.equals(there)) {
          final String[] place = word.split("\t");
          rows.add(new String[] {place[0], place[1], place[2], here, there});
        }
      }
      if (rows.size() == 1) {
        out.println("both hold the same " + left.size() + " words");
        return 0;
      }
      Table.print(out, rows);
      return 1;
    }

    private static Map<String, String> words(final JsonNode state) {
      final Map<String, String> words = new TreeMap<>();
      state
          .path("subjects")
          .forEach(
              subject ->
                  subject
                      .path("words")
                      .forEach(
                          word ->
                              words.put(
                                  subject.path("kind").asText()
                                      + '\t'
                                      + subject.path("subject").asText()
                                      + '\t'
                                      + word.path("writer").asText(),
                                  word.path("version").asText())));
      return words;
    }
  }

  /** All words on a subject, and the rule that made of them what counts. */
  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description =
          "All that is said of an endpoint or destination, and what the rule makes of it.")
  static final class Why implements Callable<Integer> {
    @Parameters(paramLabel = "KEY", description = "an endpoint's name, or a destination's number")
    private String key;

    @Mixin private AdminOptions asked;
    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
      final PrintWriter out = spec.commandLine().getOut();
      final JsonNode state = AdminClient.ask(asked.address, "state", OFF);
      boolean found = false;
      for (final JsonNode subject : state.path("subjects")) {
        if (subject.path("subject").asText().equals(key)) {
          found = true;
          out.println(
              subject.path("kind").asText()
                  + ": "
                  + subject.path("state").asText()
                  + ": "
                  + subject.path("rule").asText());
          final List<String[]> rows = new ArrayList<>();
          rows.add(new String[] {"WRITER", "VERSION", "AGE S", "SAYS", "COUNTS"});
          final List<String> counts = new ArrayList<>();
          subject.path("by").forEach(by -> counts.add(by.asText()));
          for (final JsonNode word : subject.path("words")) {
            rows.add(
                new String[] {
                  word.path("writer").asText(),
                  word.path("version").asText(),
                  seconds(word, "age_s"),
                  joined(word.path("fields")),
                  counts.contains(word.path("writer").asText()) ? "yes" : "no"
                });
          }
          Table.print(out, rows);
        }
      }
      if (!found) {
        out.println("nobody says anything of " + key);
      }
      return found ? 0 : 1;
    }
  }
}
