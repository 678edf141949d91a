package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example as a host would write it, and what misuse does. */
final class LibraryUseTest {
  private final Scene transport = new Scene(Scene.settings());

  @Test
  void theReadmeExampleDeliversAMessage() {
    final Courier.Actions actions = transport;
    final Courier control = new Control(Scene.settings(), 7, actions);
    final long nowUs = transport.nowUs;
    control.onList(nowUs, Courier.Update.WHOLE, List.of(Scene.endpoint(1, Scene.DEST, "a")));
    control.onMessage(
        nowUs, new Courier.Message("m", 0, -1, null, nowUs + 16 * Scene.SECOND, Scene.DEST));
    control.decide(nowUs);
    assertEquals(1, transport.count("m"));
    control.onOutcome(
        nowUs + 1, new Courier.Outcome("m", Courier.Result.DELIVERED, true, 1, 1, 0, null));
    control.decide(nowUs + 1);
    assertTrue(
        transport.refused.isEmpty() && transport.failed.isEmpty(), "delivered: no other answer");
  }

  @Test
  void settingsThatContradictThemselvesAreRefusedWithTheirReason() {
    final var none = assertThrows(IllegalArgumentException.class, () -> Scene.fleetOf(0));
    assertTrue(none.getMessage().contains("at least one courier"), none.getMessage());
    assertThrows(IllegalArgumentException.class, () -> Scene.settings(0, 1, false, false));
  }

  @Test
  void anOutcomeOrAnEndOfAMessageThatIsNotHereIsIgnored() {
    transport.control.onExpired(transport.nowUs, "unknown");
    transport.control.onOutcome(
        transport.nowUs,
        new Courier.Outcome("unknown", Courier.Result.DELIVERED, true, 1, 1, 0, null));
    transport.control.decide(transport.nowUs);
    assertTrue(
        transport.sent.isEmpty() && transport.failed.isEmpty() && transport.refused.isEmpty());
  }
}
