package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** What operators are told keeps the next message is what keeps it. */
@Tag("noise")
final class LaneViewTest {
  private static LaneView of(final Scene scene) {
    return scene.control.lanes().get(0);
  }

  @Test
  void aFullWindow() {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    assertEquals("nothing waits", of(scene).why());
    for (int index = 0; index < 5; index++) {
      scene.take("m" + index, 0);
    }
    assertEquals("its window is full: 2 of 2 calls are in flight", of(scene).why());
    assertEquals(3, of(scene).waiting());
  }

  @Test
  void aToldWait() {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    scene.take("m", 0);
    scene.end("m", Courier.Result.REFUSED, 2 * Scene.SECOND);
    assertEquals("it told to wait: 2000 ms are left", of(scene).why());
  }

  @Test
  void aPauseOfItsOwn() {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    scene.take("m", 0);
    scene.end("m", Courier.Result.REFUSED);
    assertTrue(of(scene).why().startsWith("it pauses after a refusal: "), of(scene).why());
    assertEquals("UNSURE", of(scene).cause());
  }

  /** One of fourteen couriers has used its part up: nothing was refused, and yet nothing goes. */
  @Test
  void aPartOfARateThatIsUsedUp() {
    final Scene scene = Scene.withTwoEndpoints(Scene.toldFleetOf(14));
    scene.take("m0", 0);
    scene.take("m1", 0);
    assertTrue(
        of(scene).why().startsWith("this courier's part of the rate told is used up: "),
        of(scene).why());
    assertEquals(0.9 / 14, of(scene).spacingPerSecond(), 1e-9);
  }

  @Test
  void anOutage() {
    final Scene scene = Scene.withTwoEndpoints(Scene.settings());
    for (int index = 0; index < 6 && !of(scene).phase().equals("OUT"); index++) {
      scene.take("m" + index, 0);
      scene.pass(2 * Scene.SECOND);
      for (int one = 0; one <= index; one++) {
        if (scene.count("m" + one) > scene.ended("m" + one)) {
          scene.end("m" + one, Courier.Result.NO_CONNECTION);
        }
      }
    }
    assertTrue(of(scene).why().startsWith("it is out"), of(scene).why());
  }
}
