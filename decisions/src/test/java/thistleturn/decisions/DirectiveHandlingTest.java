package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.directives.Directive.Kind;
import thistleturn.decisions.model.AttemptResult;

/**
 * Directives of operators and other subsystems apply to the decisions while they are active, and
 * the status shows their source.
 */
@Tag("decisions")
final class DirectiveHandlingTest {
  private static final long NEVER = Long.MAX_VALUE;
  private final ScriptedController scripted =
      ScriptedController.withTwoEndpoints(ScriptedController.settings());

  private boolean directDestination(final Directive directive) {
    final boolean known =
        scripted.controller.onDestinationDirective(
            scripted.nowUs, ScriptedController.DESTINATION, directive);
    scripted.controller.decide(scripted.nowUs);
    return known;
  }

  private void directEndpoint(final long endpoint, final Directive directive) {
    assertTrue(scripted.controller.onEndpointDirective(scripted.nowUs, endpoint, directive));
    scripted.controller.decide(scripted.nowUs);
  }

  private RouteStatus routeStatus() {
    return scripted.controller.routes().get(0);
  }

  private void deliver(final String id) {
    scripted.accept(id, 0);
    scripted.advance(100 * ScriptedController.MS);
    scripted.endAttempt(id, AttemptResult.DELIVERED);
  }

  @Test
  void disabledEndpoint_getsNoCallsUntilDirectiveIsRevoked() {
    final Directive directive = Directive.of(Kind.EXCLUSION, "operator", NEVER);
    directEndpoint(1, directive);
    for (int number = 0; number < 6; number++) {
      deliver("m" + number);
    }
    assertTrue(
        scripted.sentCalls.stream().allMatch(send -> send.endpoint() == 2),
        scripted.sentCalls::toString);
    directEndpoint(2, directive);
    scripted.accept("waits", 0);
    scripted.advance(ScriptedController.SECOND);
    assertEquals(0, scripted.attempts("waits"));
    assertEquals("its endpoints are excluded by operator", routeStatus().blockedReason());
    directEndpoint(1, directive.withdrawn());
    assertEquals(1, scripted.lastCall("waits").endpoint());
  }

  @Test
  void directiveForUnlistedEndpoint_isReportedAsUnknown() {
    assertFalse(
        scripted.controller.onEndpointDirective(
            scripted.nowUs, 99, Directive.of(Kind.EXCLUSION, "operator", NEVER)));
    assertFalse(
        scripted.controller.onDestinationDirective(
            scripted.nowUs, 99, Directive.of(Kind.WAIT, "fleet: n1", scripted.nowUs + 1)));
  }

  @Test
  void waitDirective_endsAtItsExpiry() {
    assertTrue(
        directDestination(
            Directive.of(Kind.WAIT, "fleet: n1", scripted.nowUs + 2 * ScriptedController.SECOND)));
    scripted.accept("m", 0);
    assertEquals("it is held back by fleet: n1", routeStatus().blockedReason());
    scripted.advance(1900 * ScriptedController.MS);
    assertEquals(0, scripted.attempts("m"));
    scripted.advance(200 * ScriptedController.MS);
    assertEquals(
        1, scripted.attempts("m"), "sent when the directive expires, without another event");
  }

  @Test
  void rateAndCeilingDirectives_boundSends() {
    directDestination(new Directive(Kind.RATE, 2, "fleet: n1", NEVER));
    scripted.accept("first", 0);
    scripted.accept("second", 0);
    assertEquals(1, scripted.sentCalls.size());
    scripted.advance(400 * ScriptedController.MS);
    assertEquals(1, scripted.sentCalls.size());
    scripted.advance(200 * ScriptedController.MS);
    assertEquals(2, scripted.sentCalls.size());
    directDestination(new Directive(Kind.RATE, 2, "fleet: n1", NEVER).withdrawn());
    directDestination(new Directive(Kind.CEILING, 2, "zones", NEVER));
    for (int number = 0; number < 5; number++) {
      scripted.accept("m" + number, 0);
    }
    assertEquals(2, routeStatus().callsInFlight());
    directDestination(new Directive(Kind.CEILING, 2, "zones", NEVER).withdrawn());
    scripted.endAttempt("first", AttemptResult.DELIVERED);
    scripted.endAttempt("second", AttemptResult.DELIVERED);
    scripted.advance(3 * ScriptedController.SECOND);
    assertTrue(
        routeStatus().callsInFlight() > 2,
        () -> "window " + routeStatus().window() + ", in flight " + routeStatus().callsInFlight());
  }

  @Test
  void weightDirective_shiftsLoadToOtherEndpoint() {
    directEndpoint(1, new Directive(Kind.WEIGHT, 0.1, "zones", NEVER));
    for (int number = 0; number < 6; number++) {
      deliver("m" + number);
    }
    assertTrue(
        scripted.sentCalls.stream().filter(send -> send.endpoint() == 2).count() >= 5,
        scripted.sentCalls::toString);
  }

  @Test
  void outageDirective_opensCircuitAndReturnDirectiveBeginsRecovery() {
    deliver("m");
    scripted.advance(ScriptedController.SECOND);
    directDestination(
        new Directive(
            Kind.OUTAGE,
            scripted.nowUs,
            "fleet: n1",
            scripted.nowUs + 60 * ScriptedController.SECOND));
    assertEquals("OUT", routeStatus().circuitState());
    scripted.advance(3 * ScriptedController.SECOND);
    final long returnedUs = scripted.nowUs - ScriptedController.SECOND;
    directDestination(
        new Directive(
            Kind.RETURN, returnedUs, "fleet: n2", scripted.nowUs + 60 * ScriptedController.SECOND));
    assertEquals("RAMP", routeStatus().circuitState());
    // The recovery ends ten seconds after the return itself, not after the directive was received.
    scripted.accept("a", 0);
    scripted.advance(8900 * ScriptedController.MS);
    assertEquals("RAMP", routeStatus().circuitState());
    scripted.advance(200 * ScriptedController.MS);
    assertEquals("WELL", routeStatus().circuitState());
  }

  @Test
  void ownLaterSuccess_overridesOutageDirective() {
    final long sinceUs = scripted.nowUs;
    deliver("m");
    directDestination(new Directive(Kind.OUTAGE, sinceUs, "fleet: n1", NEVER));
    assertEquals(
        "WELL", routeStatus().circuitState(), "a success here was later than the reported outage");
    directDestination(new Directive(Kind.RETURN, sinceUs, "fleet: n1", NEVER));
    assertEquals("WELL", routeStatus().circuitState(), "the circuit was never open here");
  }

  @Test
  void routeStatus_showsSourceAndExpiryOfDirectives() {
    directDestination(
        Directive.of(Kind.WAIT, "fleet: n1", scripted.nowUs + ScriptedController.SECOND));
    directEndpoint(2, Directive.of(Kind.EXCLUSION, "operator", NEVER));
    directDestination(
        new Directive(Kind.LIMIT, 40, "fleet: n3", scripted.nowUs + ScriptedController.SECOND));
    final var constraints = routeStatus().constraints();
    assertTrue(
        constraints.contains(
            new RouteStatus.Constraint(
                -1, "WAIT", 0, "fleet: n1", scripted.nowUs + ScriptedController.SECOND)),
        constraints::toString);
    assertTrue(
        constraints.contains(new RouteStatus.Constraint(2, "EXCLUSION", 0, "operator", NEVER)),
        constraints::toString);
    assertTrue(
        constraints.contains(new RouteStatus.Constraint(-1, "LIMIT", 40, "fleet: n3", NEVER)),
        constraints::toString);
    scripted.advance(2 * ScriptedController.SECOND);
    assertTrue(
        routeStatus().constraints().stream()
            .noneMatch(directive -> directive.type().equals("WAIT")));
  }
}
