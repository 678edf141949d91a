package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import thistleturn.cli.config.ProductConfig;

/** The command line, and its messages about invalid settings files. */
@Tag("membership")
final class CommandTest {
  private static final String REGISTRY =
      "[[membership.registries]]\nname = 'r'\nurls = ['http://127.0.0.1:1/eureka']\n";

  @TempDir private Path folder;

  /** The exit code and the output of a command. */
  private record Result(int code, String out, String err) {}

  private static Result run(final String... args) {
    final StringWriter out = new StringWriter();
    final StringWriter err = new StringWriter();
    final CommandLine commandLine =
        Main.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
    final int code = commandLine.execute(args);
    return new Result(code, out.toString(), err.toString());
  }

  private Path write(final String text) throws Exception {
    return Files.writeString(folder.resolve("t.toml"), text);
  }

  @Test
  void deployedFile_isValidAndEnablesNothing() {
    final Path file = Path.of("../deploy/thistleturn.toml");
    assertEquals(0, run("check", file.toString()).code());
    assertEquals(ProductConfig.off(), ProductConfig.read(file));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[membership]\\nenabled = 'yes'                      | membership.enabled = \"yes\": expected true or false",
        "[membership]\\nstale = '1m'                         | membership.stale = \"1m\": unknown key; expected one of",
        "[membership]\\ndoubt = '10 minutes'                 | membership.doubt = \"10 minutes\": expected a duration",
        "[membership]\\ndoubt = 600                          | membership.doubt = 600: expected a duration",
        "[membership]\\nshrink-share = 1.5                   | membership.shrink-share = 1.5: expected a share",
        "[membership]\\nmost-entries = 0                     | membership.most-entries = 0: expected a whole number",
        "[membership]\\nstale-use = '30s'                    | membership.stale-use = 30000ms: expected at least membership.disagreement",
        "[membership]\\nfirst-hold = '2m'                    | membership.most-hold = 60000ms: expected at least membership.first-hold",
        "[membership]\\nenabled = true                       | membership.enabled = true: expected at least one",
        "[admin]\\nlisten = '10.0.0.1:80'                    | admin.listen = \"10.0.0.1:80\": expected a loopback address",
        "[kafka]\\nenabled = true                            | kafka = {\"enabled\":true}: unknown key",
        "[membership.registration]\\nenabled = true          | membership.registration.registry = \"-\": expected the name",
        "[membership.registration]\\nlease = '10s'           | membership.registration.lease = 10000ms: expected more than",
        "[shards]\\ncount = 0                                | shards.count = 0: expected a whole number",
        "[front]\\nidle = '100ms'                            | front.idle = \"100ms\": expected a duration",
        "[front]\\nclients = 0.7                             | front.clients = 0.7: expected shares above 0",
        "[front]\\nendpoints = 0.0                           | front.clients = 0.4: expected shares above 0",
        "[peers]\\nenabled = true                            | peers.fleet-key = (absent): expected a text",
        "[peers]\\nenabled = true\\nfleet-key = 'short'       | peers.fleet-key = (5 letters): expected a text of at least 8 letters",
        "[peers]\\nlisten = '127.0.0.1:0'                     | peers.listen = \"127.0.0.1:0\": expected a loopback address with its port",
        "[peers]\\nseeds = ['192.168.0.1:7081']               | peers.seeds = \"192.168.0.1:7081\": expected loopback addresses",
        "[peers]\\ndead-after = '1s'                          | peers.dead-after = \"1s\": expected a duration from \"4s\"",
        "[peers]\\nvia = ['127.0.0.1:1']                      | peers.via = \"127.0.0.1:1\": expected ADDRESS=ADDRESS",
        "[membership                                         | line 1: no TOML",
        "[[membership.registries]]\\nname = 'r'              | membership.registries[0].urls = (absent): expected a list"
      })
  void invalidSetting_isOneLineNamingFileKeyValueAndExpectation(
      final String text, final String message) throws Exception {
    final Result result = run("check", write(text.strip().replace("\\n", "\n")).toString());
    assertEquals(2, result.code(), result.toString());
    assertTrue(
        result.err().startsWith(folder.resolve("t.toml") + ": ") && result.err().contains(message),
        result.err());
    assertEquals(1, result.err().strip().lines().count(), result.err());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "urls = ['http://registry.example:80/']  | urls = \"http://registry.example:80/\": expected http://ADDRESS:PORT/PATH",
        "urls = ['https://127.0.0.1:80/']        | expected http://ADDRESS:PORT/PATH",
        "urls = []                               | expected a list of texts, at least one",
        "scope = ['all']                         | scope = \"all\": expected apps/NAME",
        "period = '20m'                          | period = 1200000ms: expected less than membership.stale-use",
        "most-bytes = '1GB'                      | most-bytes = \"1GB\": expected a size",
        "metadata = { dest = 'd' }               | metadata.dest = \"d\": unknown key"
      })
  void invalidRegistrySetting_isReported(final String line, final String message) throws Exception {
    final String base = line.startsWith("urls") ? REGISTRY.replaceAll("urls.*\n", "") : REGISTRY;
    final Result result = run("check", write(base + line + "\n").toString());
    assertEquals(2, result.code(), result.toString());
    assertTrue(result.err().contains(message), result.err());
  }

  @Test
  void twoRegistriesWithOneName_areRejected() throws Exception {
    final Result result = run("check", write(REGISTRY + REGISTRY).toString());
    assertTrue(
        result
            .err()
            .contains(
                "membership.registries[1].name = \"r\": expected a name that no other source has"),
        result.err());
  }

  @Test
  void validFile_isSummarized() throws Exception {
    final Result result =
        run(
            "check",
            write(
                    "[membership]\nenabled = true\n[membership.registration]\nenabled = true\n"
                        + REGISTRY)
                .toString());
    assertEquals(0, result.code(), result.err());
    assertTrue(result.out().contains("membership 1 registries, registers itself"), result.out());
  }

  @Test
  void everyCommand_printsHelp() {
    for (final String command : new String[] {"serve", "check", "demo", "members"}) {
      final Result result = run(command, "--help");
      assertEquals(0, result.code());
      assertTrue(result.out().contains("Usage: thistleturn " + command), result.out());
    }
    assertTrue(run("--help").out().contains("Exit codes"));
    assertEquals(2, run("no-such-command").code());
  }

  @Test
  void membersWithoutCourier_failsWithOneLine() {
    final Result result = run("members", "--at", "127.0.0.1:1");
    assertEquals(1, result.code());
    assertTrue(result.err().startsWith("no courier answers at 127.0.0.1:1"), result.err());
    assertFalse(result.err().contains("\tat "));
  }

  @Test
  void demo_keepsDeliveryRulesDespiteFaults() {
    final Result result = run("demo", "--seconds", "8", "--rate", "150");
    assertEquals(0, result.code(), result.out() + result.err());
    assertTrue(result.out().contains("all kept"), result.out());
    assertTrue(
        result.out().contains("falls silent") && result.out().contains("e4 is DOWN"), result.out());
    assertEquals(2, run("demo", "--seconds", "1").code());
  }
}
