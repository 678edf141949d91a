package thistleturn.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.settings.MalformedLineException;

/**
 * The exact form of the lines that the adapter exchanges with the simulator: the tags and fields of
 * all actions except the cancellation of an attempt, and the values of reasons, conditions and
 * scopes.
 */
final class AdapterLineFormatTest {
  private static final List<Pattern> ACTIONS =
      List.of(
          Pattern.compile("pass_on\ti=\\d+\tref=\\w+\tpatience=\\d+\tendpoint=\\d+"),
          Pattern.compile("decline\ti=\\d+\tref=\\w+(\tretry_after=\\d+)?"),
          Pattern.compile("drop_request\ti=\\d+\tref=\\w+"),
          Pattern.compile("free_links\ti=\\d+\tendpoint=\\d+"),
          Pattern.compile("follow\ti=\\d+\ton=1"),
          Pattern.compile("remind\ti=\\d+\tdelay=\\d+\ttoken=0"),
          Pattern.compile("yield"));
  private static final String ENLIST =
      "enlist\ti=1\tnonce64=7\tbalancers=2\tdiscovery=on_request\tclasses.count=2\t"
          + "classes.0.name=7\tclasses.0.effect=pure\tclasses.0.target=1000000\t"
          + "classes.0.deadline=8000000\tclasses.1.name=8\tclasses.1.effect=side_effect\t"
          + "classes.1.target=1000000\tclasses.1.deadline=8000000\textra.calls_out=8\t"
          + "extra.per_call=1\textra.routes_apart=false\tflavors=some_kind\tlimits.max_open=4\t"
          + "limits.most_tries=8\tlimits.cancel=true\tlimits.multiplex=1\t"
          + "limits.idle_close=10000000\t"
          + "guarantees.cold=9000000\tguarantees.cold_from=0.2\n";

  private static String run(final String input) throws IOException {
    final StringWriter out = new StringWriter();
    new SimulatorAdapter(new BufferedReader(new StringReader(input)), out).run();
    return out.toString();
  }

  private static String batch(final long clock, final String... events) {
    return "batch\tclock=" + clock + "\n" + String.join("", events) + "flush\n";
  }

  private static String endpoints(final String scope, final String condition) {
    final String row =
        "m\tcondition=" + condition + "\tlocality=here\tpower_hint=1\tkind=some_kind";
    return "sheet\tbank=0\trows=2\n"
        + row
        + "\tendpoint=11\tcell=57\n"
        + row
        + "\tendpoint=12\tcell=58\n"
        + "endpoints\ti=1\tscope="
        + scope
        + "\tepoch=1\tbank=0\n";
  }

  private static String incoming(final String reference, final int kind) {
    return incoming(reference, kind, 9_000_000, 57);
  }

  private static String incoming(
      final String reference, final int kind, final long validUntilUs, final int destination) {
    return "incoming\ti=1\tref="
        + reference
        + "\tqos="
        + kind
        + "\tvalid_until="
        + validUntilUs
        + "\tdestination="
        + destination
        + "\tnew=1\n";
  }

  private static String returned(final String reference, final String reason) {
    return "returned\ti=1\tref="
        + reference
        + "\treason="
        + reason
        + "\tcomplete=0\tendpoint=11\tduration=9\tleg=0\n";
  }

  private static String served(final String reference) {
    return returned(reference, "served")
        .replace("complete=0\tendpoint=11", "complete=1\tendpoint=12");
  }

  private static String busyScenario() {
    final StringBuilder input =
        new StringBuilder(batch(1_000_000, ENLIST, endpoints("warm_copy", "U")));
    for (int number = 0; number < 12; number++) {
      input.append(batch(1_000_000 + number * 10_000, incoming("a" + number, 7 + number % 2)));
    }
    input.append(batch(1_200_000, returned("a1", "connection_lost")));
    for (int step = 1; step < 60; step++) {
      input.append(batch(1_200_000 + step * 200_000));
    }
    return input.toString();
  }

  /** A connection that has been idle for a long time is closed before its next use. */
  private static String idleScenario() {
    return batch(1_000_000, ENLIST, endpoints("warm_copy", "U"))
        + batch(1_100_000, incoming("b", 7, 60_000_000, 58))
        + batch(1_200_000, served("b"))
        + batch(21_000_000, incoming("c", 8, 60_000_000, 58));
  }

  @Test
  void actions_areWrittenInTheseForms() throws IOException {
    final Set<String> seen = new TreeSet<>();
    final String reply = run(busyScenario()) + run(idleScenario());
    for (final String line : reply.split("\n")) {
      assertTrue(
          ACTIONS.stream().anyMatch(form -> form.matcher(line).matches()),
          () -> "unexpected form of a line: " + line);
      seen.add(line.split("\t")[0]);
    }
    assertEquals(
        "[decline, drop_request, follow, free_links, pass_on, remind, yield]", seen.toString());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "served",
        "server_error",
        "turned_away",
        "no_answer",
        "no_connection",
        "connection_lost",
        "called_off",
        "not_sent"
      })
  void knownReason_isParsed(final String reason) throws IOException {
    final String reply =
        run(
            batch(1_000_000, ENLIST, endpoints("warm_copy", "U"), incoming("a", 7))
                + batch(1_100_000, returned("a", reason)));
    assertTrue(reply.contains("pass_on\ti=1\tref=a\t"), reply);
    assertFalse(reply.contains("die"), reply);
  }

  @Test
  void unknownReason_isMalformed() {
    final String input =
        batch(1_000_000, ENLIST, endpoints("warm_copy", "U"), incoming("a", 7))
            + batch(1_100_000, returned("a", "DELIVERED"));
    assertTrue(
        assertThrows(MalformedLineException.class, () -> run(input))
            .getMessage()
            .endsWith("unknown reason 'DELIVERED'"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"incr", "total", "warm_copy"})
  void knownScope_isParsed(final String scope) throws IOException {
    for (final String condition : List.of("U", "L", "D")) {
      final String reply = run(batch(1_000_000, ENLIST, endpoints(scope, condition)));
      assertFalse(reply.contains("die"), reply);
    }
  }

  @Test
  void lossOfEndpointList_isParsed() throws IOException {
    final String reply = run(batch(1_000_000, ENLIST, "endpoints\ti=1\tscope=lost\tepoch=1\n"));
    assertFalse(reply.contains("die"), reply);
  }
}
