package thistleturn.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import thistleturn.settings.Fields;
import thistleturn.settings.MalformedLineException;
import thistleturn.settings.SettingsReader;

/** Complete batches of events, and the replies to them. */
final class SimulatorAdapterTest {
  private static final String CONFIG =
      "\tnonce64=7\tbalancers=2\tclasses.count=1\tclasses.0.name=7\t"
          + "classes.0.effect=pure\tclasses.0.target=1000000\tclasses.0.deadline=8000000\tclasses.0.points=1.0\t"
          + "classes.0.late_worth=0.0\textra.calls_out=8\textra.per_call=1\textra.routes_apart=false\t"
          + "flavors=some_kind\tlimits.max_open=20\tlimits.most_tries=8\tlimits.cancel=true\tlimits.multiplex=1\t"
          + "guarantees.cold=9000000\tguarantees.cold_from=0.2\tguarantees.fall=3000000\t"
          + "guarantees.tip_multiple=2.0\tsome.later.key=1,2,3\n";

  private static String run(final String input) throws IOException {
    final StringWriter out = new StringWriter();
    new SimulatorAdapter(new BufferedReader(new StringReader(input)), out).run();
    return out.toString();
  }

  private static String enlist(final int instance) {
    return "enlist\ti=" + instance + CONFIG;
  }

  private static String batch(final long clock, final String... events) {
    return "batch\tclock=" + clock + "\n" + String.join("", events) + "flush\n";
  }

  private static String sheet(final long endpoint) {
    return String.format(
        "sheet\tbank=0\trows=1\n"
            + "m\tcondition=U\tlocality=here\tendpoint=%d\tpower_hint=1\tkind=some_kind\tcell=57\n",
        endpoint);
  }

  private static String restoredEndpoints(final int instance) {
    return "endpoints\ti=" + instance + "\tscope=warm_copy\tepoch=1\tbank=0\n";
  }

  private static String message(final int instance, final String ref) {
    return "incoming\ti="
        + instance
        + "\tref="
        + ref
        + "\tqos=7\tvalid_until=90000000\tdestination=57\tnew=1\n";
  }

  private static List<String> sentLines(final String reply) {
    return Arrays.stream(reply.split("\n")).filter(line -> line.startsWith("pass_on")).toList();
  }

  @Test
  void emptyBatch_yieldsEmptyReply() throws IOException {
    assertEquals("yield\n", run("batch\tclock=1\nflush\n"));
  }

  @Test
  void twoInstancesInOneBatch_areIndependent() throws IOException {
    final String reply =
        run(
            batch(
                    1_000_000,
                    enlist(3),
                    sheet(11),
                    restoredEndpoints(3),
                    enlist(5),
                    restoredEndpoints(5))
                + batch(2_000_000, message(5, "0a"), message(3, "0b")));
    final List<String> sentLines = sentLines(reply);
    assertEquals(2, sentLines.size());
    assertTrue(sentLines.contains("pass_on\ti=3\tref=0b\tpatience=2000000\tendpoint=11"), reply);
    assertTrue(sentLines.get(1).startsWith("pass_on\ti=5\tref=0a\t"), reply);
    assertEquals(2, reply.split("yield\n", -1).length - 1);
  }

  @Test
  void restartWithSameNumber_discardsAllState() throws IOException {
    final String reply =
        run(
            batch(1_000_000, enlist(1), sheet(11), restoredEndpoints(1))
                + batch(2_000_000, message(1, "0a"))
                + batch(
                    3_000_000,
                    "stop\ti=1\n",
                    enlist(1),
                    sheet(12),
                    restoredEndpoints(1),
                    message(1, "0b")));
    final List<String> sentLines = sentLines(reply);
    assertEquals(2, sentLines.size());
    assertTrue(
        sentLines.get(1).contains("ref=0b") && sentLines.get(1).endsWith("endpoint=12"), reply);
  }

  @Test
  void reusedSheetNumber_refersToNewerSheet() throws IOException {
    final String reply =
        run(
            batch(
                1_000_000,
                enlist(1),
                sheet(11),
                restoredEndpoints(1),
                enlist(2),
                sheet(12),
                restoredEndpoints(2),
                message(1, "0a"),
                message(2, "0b")));
    final List<String> sentLines = sentLines(reply);
    assertTrue(
        sentLines.get(0).endsWith("endpoint=11") && sentLines.get(1).endsWith("endpoint=12"),
        reply);
  }

  @Test
  void expiryAfterTheOutcome_isIgnored() throws IOException {
    final String reply =
        run(
            batch(1_000_000, enlist(1), sheet(11), restoredEndpoints(1), message(1, "0a"))
                + batch(
                    2_000_000,
                    "returned\ti=1\tref=0a\treason=served\tcomplete=1\tendpoint=11\tduration=9\tleg=0\n",
                    "expired\ti=1\tref=0a\n"));
    assertEquals(1, sentLines(reply).size());
    assertFalse(reply.contains("die"), reply);
  }

  @Test
  void unknownEvents_areIgnored() throws IOException {
    final String reply = run(batch(1_000_000, enlist(1), "inbox\ti=1\torigin_peer=2\toctets=-\n"));
    assertFalse(reply.contains("die"), reply);
  }

  @Test
  void malformedLine_isReportedWithItsNumberAndReason() {
    assertEquals(
        "line 1: no '=' in 'nonsense'",
        assertThrows(MalformedLineException.class, () -> run("batch\tnonsense\n")).getMessage());
    assertEquals(
        "line 1: 'clock' is no whole number: 'x'",
        assertThrows(MalformedLineException.class, () -> run("batch\tclock=x\n")).getMessage());
    assertThrows(MalformedLineException.class, () -> run(batch(1, "sheet\tbank=0\trows=2\n")));
    assertThrows(MalformedLineException.class, () -> run(batch(1, message(9, "0a"))));
  }

  @Test
  void settings_areReadWithListsAndDefaults() {
    final var settings =
        SettingsReader.read(
            Fields.parse(
                "enlist\tflavors=a_b,c\textra.routes_apart=false,true\t"
                    + "extra.per_call=1,5\textra.fades=halving\tweights=rough\tdiscovery=on_request\t"
                    + "tenants.count=1\ttenants.0.name=12\ttenants.0.quota_rps=14.0",
                1));
    assertEquals("a_b", settings.kinds().get(0).name());
    assertTrue(settings.kinds().get(1).separateRoutes());
    assertEquals(5, settings.kinds().get(1).messagesPerCall());
    assertTrue(settings.subscribesToEndpointList());
    assertEquals("12", settings.tenants().get(0).name());
    assertEquals(Integer.MAX_VALUE, settings.limits().concurrencyLimit());
    assertEquals(0, settings.guarantees().settleDelayUs());
  }
}
