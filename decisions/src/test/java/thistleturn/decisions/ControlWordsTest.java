package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.directives.Directive.Kind;

/**
 * What other subsystems say binds the decisions, for as long as it was said for, and operators see
 * who said it.
 */
@Tag("decisions")
final class ControlWordsTest {
  private static final long NEVER = Long.MAX_VALUE;
  private final Scene scene = Scene.withTwoEndpoints(Scene.settings());

  private boolean say(final Directive word) {
    final boolean known = scene.control.onWord(scene.nowUs, Scene.DEST, word);
    scene.control.decide(scene.nowUs);
    return known;
  }

  private void sayOf(final long endpoint, final Directive word) {
    assertTrue(scene.control.onEndpointWord(scene.nowUs, endpoint, word));
    scene.control.decide(scene.nowUs);
  }

  private LaneView lane() {
    return scene.control.lanes().get(0);
  }

  private void deliver(final String id) {
    scene.take(id, 0);
    scene.pass(100 * Scene.MS);
    scene.end(id, Courier.Result.DELIVERED);
  }

  @Test
  void anEndpointLeftOutGetsNothingUntilThatIsTakenBack() {
    final Directive word = Directive.of(Kind.EXCLUSION, "operator", NEVER);
    sayOf(1, word);
    for (int number = 0; number < 6; number++) {
      deliver("m" + number);
    }
    assertTrue(scene.sent.stream().allMatch(send -> send.endpoint() == 2), scene.sent::toString);
    sayOf(2, word);
    scene.take("waits", 0);
    scene.pass(Scene.SECOND);
    assertEquals(0, scene.count("waits"));
    assertEquals("its endpoints are left out: operator", lane().why());
    sayOf(1, word.withdrawn());
    assertEquals(1, scene.last("waits").endpoint());
  }

  @Test
  void anEndpointNobodyNamedIsNotKnown() {
    assertFalse(
        scene.control.onEndpointWord(
            scene.nowUs, 99, Directive.of(Kind.EXCLUSION, "operator", NEVER)));
    assertFalse(
        scene.control.onWord(
            scene.nowUs, 99, Directive.of(Kind.WAIT, "fleet: n1", scene.nowUs + 1)));
  }

  @Test
  void aWaitToldElsewhereEndsWhenItWasToldTo() {
    assertTrue(say(Directive.of(Kind.WAIT, "fleet: n1", scene.nowUs + 2 * Scene.SECOND)));
    scene.take("m", 0);
    assertEquals("it is held back by fleet: n1", lane().why());
    scene.pass(1900 * Scene.MS);
    assertEquals(0, scene.count("m"));
    scene.pass(200 * Scene.MS);
    assertEquals(1, scene.count("m"), "and nothing else had to happen for it");
  }

  @Test
  void aRateAndACeilingBoundWhatGoes() {
    say(new Directive(Kind.RATE, 2, "fleet: n1", NEVER));
    scene.take("first", 0);
    scene.take("second", 0);
    assertEquals(1, scene.sent.size());
    scene.pass(400 * Scene.MS);
    assertEquals(1, scene.sent.size());
    scene.pass(200 * Scene.MS);
    assertEquals(2, scene.sent.size());
    say(new Directive(Kind.RATE, 2, "fleet: n1", NEVER).withdrawn());
    say(new Directive(Kind.CEILING, 2, "zones", NEVER));
    for (int number = 0; number < 5; number++) {
      scene.take("m" + number, 0);
    }
    assertEquals(2, lane().inFlight());
    say(new Directive(Kind.CEILING, 2, "zones", NEVER).withdrawn());
    scene.end("first", Courier.Result.DELIVERED);
    scene.end("second", Courier.Result.DELIVERED);
    scene.pass(3 * Scene.SECOND);
    assertTrue(
        lane().inFlight() > 2,
        () -> "window " + lane().window() + ", in flight " + lane().inFlight());
  }

  @Test
  void aLightEndpointIsChosenWhereTheOtherIsBusier() {
    sayOf(1, new Directive(Kind.WEIGHT, 0.1, "zones", NEVER));
    for (int number = 0; number < 6; number++) {
      deliver("m" + number);
    }
    assertTrue(
        scene.sent.stream().filter(send -> send.endpoint() == 2).count() >= 5,
        scene.sent::toString);
  }

  @Test
  void anOutageFoundElsewhereIsOneHereAndItsReturnIsOneForAll() {
    deliver("m");
    scene.pass(Scene.SECOND);
    say(new Directive(Kind.OUTAGE, scene.nowUs, "fleet: n1", scene.nowUs + 60 * Scene.SECOND));
    assertEquals("OUT", lane().phase());
    scene.pass(3 * Scene.SECOND);
    final long returnedUs = scene.nowUs - Scene.SECOND;
    say(new Directive(Kind.RETURN, returnedUs, "fleet: n2", scene.nowUs + 60 * Scene.SECOND));
    assertEquals("RAMP", lane().phase());
    // Warm ten seconds after the return that all were told of, not after the moment of being told.
    scene.take("a", 0);
    scene.pass(8900 * Scene.MS);
    assertEquals("RAMP", lane().phase());
    scene.pass(200 * Scene.MS);
    assertEquals("WELL", lane().phase());
  }

  @Test
  void ownKnowledgeSinceIsWorthMoreThanAnothersWord() {
    final long sinceUs = scene.nowUs;
    deliver("m");
    say(new Directive(Kind.OUTAGE, sinceUs, "fleet: n1", NEVER));
    assertEquals("WELL", lane().phase(), "served here after that");
    say(new Directive(Kind.RETURN, sinceUs, "fleet: n1", NEVER));
    assertEquals("WELL", lane().phase(), "it was never out here");
  }

  @Test
  void operatorsSeeWhoSaidWhatAndForHowLong() {
    say(Directive.of(Kind.WAIT, "fleet: n1", scene.nowUs + Scene.SECOND));
    sayOf(2, Directive.of(Kind.EXCLUSION, "operator", NEVER));
    say(new Directive(Kind.LIMIT, 40, "fleet: n3", scene.nowUs + Scene.SECOND));
    final var said = lane().said();
    assertTrue(
        said.contains(new LaneView.Said(-1, "WAIT", 0, "fleet: n1", scene.nowUs + Scene.SECOND)),
        said::toString);
    assertTrue(
        said.contains(new LaneView.Said(2, "EXCLUSION", 0, "operator", NEVER)), said::toString);
    assertTrue(
        said.contains(new LaneView.Said(-1, "LIMIT", 40, "fleet: n3", NEVER)), said::toString);
    scene.pass(2 * Scene.SECOND);
    assertTrue(lane().said().stream().noneMatch(word -> word.what().equals("WAIT")));
  }
}
