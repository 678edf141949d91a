package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thistleturn.decisions.Scene.DEST;
import static thistleturn.decisions.Scene.MS;
import static thistleturn.decisions.Scene.SECOND;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.Courier.Condition;
import thistleturn.decisions.Courier.Result;
import thistleturn.decisions.Courier.Update;

/** What one process's decisions have learnt binds those of the process that takes over from it. */
@Tag("operators")
final class TakeoverTest {
  private static final int SAFE = 0;
  private static final int UNSAFE = 2;

  private final Scene before = Scene.withTwoEndpoints(Scene.settings());

  /**
   * The process that takes over, at the same moment; it has been told the list and what was learnt.
   */
  private Scene after() {
    final Scene after = Scene.withTwoEndpoints(Scene.settings());
    after.nowUs = before.nowUs;
    after.control.onMemory(after.nowUs, before.control.memory());
    return after;
  }

  @Test
  void aWaitGoesOn() {
    before.take("m1", SAFE);
    before.end("m1", Result.REFUSED, 2 * SECOND);
    before.pass(SECOND);
    final Scene after = after();
    after.take("m2", SAFE);
    after.pass(SECOND - MS);
    assertEquals(0, after.sent.size(), "it was told to wait");
    after.pass(5 * SECOND);
    assertEquals(1, after.sent.size());
  }

  @Test
  void anOutageGoesOnWithSingleTrials() {
    for (int round = 0; round < 8; round++) {
      before.take("m" + round, SAFE);
      before.pass(SECOND / 2);
      before.sent.stream()
          .map(Scene.Sent::id)
          .distinct()
          .filter(id -> before.count(id) > before.ended(id))
          .toList()
          .forEach(id -> before.end(id, Result.NO_CONNECTION));
    }
    final Scene after = after();
    for (int index = 0; index < 10; index++) {
      after.take("n" + index, SAFE);
    }
    after.pass(10 * SECOND);
    assertEquals(1, after.sent.size(), "one trial, and nothing beside it");
  }

  @Test
  void aRampGoesOnToItsEnd() {
    anOutageOf(before);
    final Scene after = after();
    for (int index = 0; index < 12; index++) {
      after.take("n" + index, SAFE);
    }
    after.pass(100 * MS);
    assertTrue(after.sent.size() <= 1, "paced: " + after.sent.size());
  }

  private static void anOutageOf(final Scene scene) {
    for (int round = 0; round < 8; round++) {
      scene.take("m" + round, SAFE);
      scene.pass(SECOND / 2);
      final Result result = round < 7 ? Result.NO_CONNECTION : Result.DELIVERED;
      for (int left = 20;
          left > 0 && (round == 7 ? scene.ended("done") == 0 : left == 20);
          left--) {
        scene.pass(round == 7 ? SECOND : 0);
        final List<String> out =
            scene.sent.stream()
                .map(Scene.Sent::id)
                .distinct()
                .filter(id -> scene.count(id) > scene.ended(id))
                .toList();
        out.forEach(id -> scene.end(id, result));
        left = out.isEmpty() ? left : 1;
      }
    }
  }

  @Test
  void aCallThatIsOutElsewhereHoldsItsPlaceAndItsOutcomeCounts() {
    before.take("out", UNSAFE);
    final Scene.Sent sent = before.last("out");
    final Scene after = after();
    after.control.onAdopted(
        after.nowUs,
        new Courier.Message("out", UNSAFE, -1, null, after.nowUs + 16 * SECOND, DEST),
        new Courier.Past(1, false, 0, ""),
        sent.endpoint(),
        sent.atUs(),
        false);
    after.control.decide(after.nowUs);
    assertEquals(1, after.control.callsOut());
    after.pass(2 * SECOND);
    assertEquals(0, after.sent.size(), "never two copies out");
    after.control.onOutcome(
        after.nowUs,
        new Courier.Outcome("out", Result.RESET, false, sent.endpoint(), 2 * SECOND, 0, null));
    after.control.decide(after.nowUs);
    assertEquals(0, after.control.callsOut());
    assertEquals(List.of("out"), after.failed, "it may have run");
  }

  @Test
  void theLastEndpointThatComesBackByHandIsPaced() {
    final Scene scene = new Scene(Scene.settings());
    scene.list(Update.RESTORED, Scene.endpoint(1, DEST, "a"));
    scene.list(Update.ASIDE, Scene.in(Condition.DRAINING, 1));
    for (int index = 0; index < 6; index++) {
      scene.take("m" + index, SAFE);
    }
    assertEquals(0, scene.sent.size());
    scene.control.onList(scene.nowUs, Update.ASIDE, List.of(Scene.in(Condition.LISTED, 1)));
    scene.control.onReturned(scene.nowUs, 1);
    scene.control.decide(scene.nowUs);
    scene.pass(200 * MS);
    scene.sent.stream().map(Scene.Sent::id).toList().forEach(id -> scene.end(id, Result.DELIVERED));
    scene.pass(200 * MS);
    assertEquals(1, scene.sent.size(), "single calls, as many as a cold one bears");
    assertEquals(0, scene.control.avoided().size());
  }
}
