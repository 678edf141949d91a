package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** How a running courier itself is: whether it runs when it means to, and reaches anybody. */
@Command(
    name = "health",
    mixinStandardHelpOptions = true,
    description =
        "How a running courier itself is: well, late, away, "
            + "starved or cut off, since when, and by which evidence.")
final class HealthCommand implements Callable<Integer> {
  @Mixin private AdminOptions asked;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException {
    final JsonNode health =
        AdminClient.ask(asked.address, "health", "it is of a version without this page");
    if (asked.json) {
      spec.commandLine().getOut().println(health.toPrettyString());
      return 0;
    }
    Table.print(
        spec.commandLine().getOut(),
        List.of(
            new String[] {
              "STATE", "FOR S", "AWAY SHARE", "LAST AWAY S", "HOLDS", "MAY HOLD", "EVIDENCE"
            },
            new String[] {
              health.path("state").asText(),
              figure(health, "for_s"),
              figure(health, "away_share"),
              figure(health, "last_away_s"),
              health.path("holds").asText(),
              health.path("may_hold").asText(),
              health.path("evidence").asText()
            }));
    return 0;
  }

  private static String figure(final JsonNode health, final String name) {
    return String.format(Locale.ROOT, "%.2f", health.path(name).asDouble());
  }
}
