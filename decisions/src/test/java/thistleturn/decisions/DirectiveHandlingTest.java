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
 * What other subsystems say binds the decisions, for as long as it was said for, and operators see
 * who said it.
 */
@Tag("decisions")
final class DirectiveHandlingTest {
  private static final long NEVER = Long.MAX_VALUE;
  private final ScriptedController scene =
      ScriptedController.withTwoEndpoints(ScriptedController.settings());

  private boolean say(final Directive word) {
    final boolean known =
        scene.controller.onDestinationDirective(scene.nowUs, ScriptedController.DESTINATION, word);
    scene.controller.decide(scene.nowUs);
    return known;
  }

  private void sayOf(final long endpoint, final Directive word) {
    assertTrue(scene.controller.onEndpointDirective(scene.nowUs, endpoint, word));
    scene.controller.decide(scene.nowUs);
  }

  private RouteStatus lane() {
    return scene.controller.routes().get(0);
  }

  private void deliver(final String id) {
    scene.accept(id, 0);
    scene.advance(100 * ScriptedController.MS);
    scene.endAttempt(id, AttemptResult.DELIVERED);
  }

  @Test
  void disabledEndpoint_getsNoCallsUntilDirectiveIsRevoked() {
    final Directive word = Directive.of(Kind.EXCLUSION, "operator", NEVER);
    sayOf(1, word);
    for (int number = 0; number < 6; number++) {
      deliver("m" + number);
    }
    assertTrue(
        scene.sentCalls.stream().allMatch(send -> send.endpoint() == 2), scene.sentCalls::toString);
    sayOf(2, word);
    scene.accept("waits", 0);
    scene.advance(ScriptedController.SECOND);
    assertEquals(0, scene.attempts("waits"));
    assertEquals("its endpoints are left out: operator", lane().blockedReason());
    sayOf(1, word.withdrawn());
    assertEquals(1, scene.lastCall("waits").endpoint());
  }

  @Test
  void directiveForUnlistedEndpoint_isReportedAsUnknown() {
    assertFalse(
        scene.controller.onEndpointDirective(
            scene.nowUs, 99, Directive.of(Kind.EXCLUSION, "operator", NEVER)));
    assertFalse(
        scene.controller.onDestinationDirective(
            scene.nowUs, 99, Directive.of(Kind.WAIT, "fleet: n1", scene.nowUs + 1)));
  }

  @Test
  void waitDirective_endsAtItsTime() {
    assertTrue(
        say(Directive.of(Kind.WAIT, "fleet: n1", scene.nowUs + 2 * ScriptedController.SECOND)));
    scene.accept("m", 0);
    assertEquals("it is held back by fleet: n1", lane().blockedReason());
    scene.advance(1900 * ScriptedController.MS);
    assertEquals(0, scene.attempts("m"));
    scene.advance(200 * ScriptedController.MS);
    assertEquals(1, scene.attempts("m"), "and nothing else had to happen for it");
  }

  @Test
  void rateAndCeilingDirectives_boundSends() {
    say(new Directive(Kind.RATE, 2, "fleet: n1", NEVER));
    scene.accept("first", 0);
    scene.accept("second", 0);
    assertEquals(1, scene.sentCalls.size());
    scene.advance(400 * ScriptedController.MS);
    assertEquals(1, scene.sentCalls.size());
    scene.advance(200 * ScriptedController.MS);
    assertEquals(2, scene.sentCalls.size());
    say(new Directive(Kind.RATE, 2, "fleet: n1", NEVER).withdrawn());
    say(new Directive(Kind.CEILING, 2, "zones", NEVER));
    for (int number = 0; number < 5; number++) {
      scene.accept("m" + number, 0);
    }
    assertEquals(2, lane().callsInFlight());
    say(new Directive(Kind.CEILING, 2, "zones", NEVER).withdrawn());
    scene.endAttempt("first", AttemptResult.DELIVERED);
    scene.endAttempt("second", AttemptResult.DELIVERED);
    scene.advance(3 * ScriptedController.SECOND);
    assertTrue(
        lane().callsInFlight() > 2,
        () -> "window " + lane().window() + ", in flight " + lane().callsInFlight());
  }

  @Test
  void weightDirective_shiftsLoadToOtherEndpoint() {
    sayOf(1, new Directive(Kind.WEIGHT, 0.1, "zones", NEVER));
    for (int number = 0; number < 6; number++) {
      deliver("m" + number);
    }
    assertTrue(
        scene.sentCalls.stream().filter(send -> send.endpoint() == 2).count() >= 5,
        scene.sentCalls::toString);
  }

  @Test
  void outageDirective_opensCircuitAndReturnDirectiveBeginsRecovery() {
    deliver("m");
    scene.advance(ScriptedController.SECOND);
    say(
        new Directive(
            Kind.OUTAGE, scene.nowUs, "fleet: n1", scene.nowUs + 60 * ScriptedController.SECOND));
    assertEquals("OUT", lane().circuitState());
    scene.advance(3 * ScriptedController.SECOND);
    final long returnedUs = scene.nowUs - ScriptedController.SECOND;
    say(
        new Directive(
            Kind.RETURN, returnedUs, "fleet: n2", scene.nowUs + 60 * ScriptedController.SECOND));
    assertEquals("RAMP", lane().circuitState());
    // Warm ten seconds after the return that all were told of, not after the moment of being told.
    scene.accept("a", 0);
    scene.advance(8900 * ScriptedController.MS);
    assertEquals("RAMP", lane().circuitState());
    scene.advance(200 * ScriptedController.MS);
    assertEquals("WELL", lane().circuitState());
  }

  @Test
  void ownLaterSuccess_overridesOutageDirective() {
    final long sinceUs = scene.nowUs;
    deliver("m");
    say(new Directive(Kind.OUTAGE, sinceUs, "fleet: n1", NEVER));
    assertEquals("WELL", lane().circuitState(), "served here after that");
    say(new Directive(Kind.RETURN, sinceUs, "fleet: n1", NEVER));
    assertEquals("WELL", lane().circuitState(), "it was never out here");
  }

  @Test
  void routeStatus_showsSourceAndExpiryOfDirectives() {
    say(Directive.of(Kind.WAIT, "fleet: n1", scene.nowUs + ScriptedController.SECOND));
    sayOf(2, Directive.of(Kind.EXCLUSION, "operator", NEVER));
    say(new Directive(Kind.LIMIT, 40, "fleet: n3", scene.nowUs + ScriptedController.SECOND));
    final var said = lane().constraints();
    assertTrue(
        said.contains(
            new RouteStatus.Constraint(
                -1, "WAIT", 0, "fleet: n1", scene.nowUs + ScriptedController.SECOND)),
        said::toString);
    assertTrue(
        said.contains(new RouteStatus.Constraint(2, "EXCLUSION", 0, "operator", NEVER)),
        said::toString);
    assertTrue(
        said.contains(new RouteStatus.Constraint(-1, "LIMIT", 40, "fleet: n3", NEVER)),
        said::toString);
    scene.advance(2 * ScriptedController.SECOND);
    assertTrue(lane().constraints().stream().noneMatch(word -> word.type().equals("WAIT")));
  }
}
