package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * What a process that died had learnt, taken up by the next one: it serves at once, and no rule
 * hangs on it.
 */
@Tag("noise")
final class WarmStartTest {
  private static final long SECOND = Scene.SECOND;

  private static Scene served(final int messages) {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    for (int index = 0; index < messages; index++) {
      scene.take("m" + index, 0);
      scene.take("n" + index, 0);
      scene.take("o" + index, 0);
      scene.pass(20 * Scene.MS);
      for (final String name : new String[] {"m", "n", "o"}) {
        if (scene.count(name + index) > scene.ended(name + index)) {
          scene.end(name + index, Courier.Result.DELIVERED);
        }
      }
    }
    return scene;
  }

  /** A courier that starts so long after another has died, with what that one had learnt. */
  private static Scene next(final Scene before, final long laterUs) {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    scene.nowUs = before.nowUs + laterUs;
    scene.control.onMemory(scene.nowUs, before.control.memory().aged(before.nowUs, scene.nowUs));
    return scene;
  }

  private static int sentAtOnce(final Scene scene) {
    for (int index = 0; index < 20; index++) {
      scene.take("at once " + index, 0);
    }
    return scene.sent.size();
  }

  @Test
  void aWindowIsTakenUpAndFadesWithAge() {
    final Scene before = served(60);
    final int soon = sentAtOnce(next(before, SECOND / 2));
    final int late = sentAtOnce(next(before, 50 * SECOND));
    assertTrue(soon > 2, "calls at once, soon after: " + soon);
    assertTrue(late < soon, "after 50 s: " + late);
  }

  private static Scene out() {
    final Scene before = served(5);
    for (int index = 0; index < 6; index++) {
      before.take("lost " + index, 0);
      before.pass(3 * SECOND);
      if (before.count("lost " + index) > before.ended("lost " + index)) {
        before.end("lost " + index, Courier.Result.NO_CONNECTION);
      }
    }
    return before;
  }

  @Test
  void aDestinationThatWasOutStaysOut() {
    final Scene scene = next(out(), SECOND);
    assertTrue(sentAtOnce(scene) <= 1, "only a trial may go: " + scene.sent);
  }

  @Test
  void oneInTroubleIsTakenForOneThatReturns() {
    final Scene before = served(60);
    for (final String id : new String[] {"lost", "lost too"}) {
      before.take(id, 0);
      before.end(id, Courier.Result.NO_CONNECTION);
    }
    final Scene scene = next(before, SECOND);
    assertTrue(sentAtOnce(scene) <= 1, "a returning one is paced: " + scene.sent);
  }

  @Test
  void aToldWaitStands() {
    final Scene before = served(5);
    before.take("told", 0);
    before.end("told", Courier.Result.REFUSED, 10 * SECOND);
    final Scene scene = next(before, SECOND);
    assertEquals(0, sentAtOnce(scene));
    scene.pass(8 * SECOND);
    assertEquals(0, scene.sent.size());
    scene.pass(10 * SECOND);
    assertTrue(scene.sent.size() > 0);
  }

  @Test
  void anOutageThatBeganMeanwhileIsSeen() {
    final Scene scene = next(served(60), 3 * SECOND);
    for (int index = 0; index < 8; index++) {
      final String id = "late " + index;
      scene.take(id, 0);
      if (scene.count(id) > scene.ended(id)) {
        scene.end(id, Courier.Result.NO_CONNECTION);
      }
    }
    final int before = scene.sent.size();
    sentAtOnce(scene);
    assertTrue(scene.sent.size() - before <= 1, "sends after the outage was seen");
  }

  @Test
  void endpointsThatAreNotListedAnyMoreAreForgotten() {
    final Scene before = served(10);
    final Scene scene = new Scene(Scene.settings());
    scene.nowUs = before.nowUs + SECOND;
    scene.list(Courier.Update.RESTORED, Scene.endpoint(9, Scene.DEST, "a"));
    scene.control.onMemory(scene.nowUs, before.control.memory().aged(before.nowUs, scene.nowUs));
    scene.take("m", 0);
    assertEquals(9, scene.last("m").endpoint());
  }

  /** A process that ends before its first step of a second knows what it has served so far. */
  @Test
  void aRateIsKnownBeforeTheFirstStep() {
    final Memory memory = served(20).control.memory();
    assertEquals(60, memory.lanes().get(0).figures()[Memory.CALL_RATE]);
  }

  /** Steps that no process lived to take are reckoned with, but for one that was refused in. */
  @Test
  void aPaceWidensWithTheTimeSinceTheLastStep() {
    final Memory memory = served(20).control.memory();
    final Memory.OfLane lane = memory.lanes().get(0);
    final double[] paced = lane.figures().clone();
    paced[Memory.SPACING] = 10;
    final double[] refused = paced.clone();
    refused[Memory.REFUSED] = 1;
    final long[] stepped = lane.moments().clone();
    stepped[stepped.length - 1] = 100 * SECOND;
    final Memory aged =
        new Memory(
                memory.classMeanUs(),
                memory.classSamples(),
                memory.trustUs(),
                List.of(
                    new Memory.OfLane(1, paced, stepped), new Memory.OfLane(2, refused, stepped)),
                List.of())
            .aged(101 * SECOND, 103 * SECOND);
    assertEquals(10 * Math.pow(1.2, 3), aged.lanes().get(0).figures()[Memory.SPACING], 1e-9);
    assertEquals(10, aged.lanes().get(1).figures()[Memory.SPACING], 1e-9);
  }
}
