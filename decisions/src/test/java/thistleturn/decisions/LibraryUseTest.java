package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Message;

/** The README's example as a host would write it, and what misuse does. */
final class LibraryUseTest {
  private final ScriptedController transport =
      new ScriptedController(ScriptedController.settings());

  @Test
  void readmeExample_deliversMessage() {
    final DeliveryActions actions = transport;
    final DeliveryController control =
        new OverloadController(ScriptedController.settings(), 7, actions);
    final long nowUs = transport.nowUs;
    control.onEndpointList(
        nowUs,
        EndpointUpdate.COMPLETE_SNAPSHOT,
        List.of(ScriptedController.endpoint(1, ScriptedController.DESTINATION, "a")));
    control.onMessage(
        nowUs,
        new Message(
            "m",
            0,
            -1,
            null,
            nowUs + 16 * ScriptedController.SECOND,
            ScriptedController.DESTINATION));
    control.decide(nowUs);
    assertEquals(1, transport.attempts("m"));
    control.onOutcome(
        nowUs + 1, new AttemptOutcome("m", AttemptResult.DELIVERED, true, 1, 1, 0, null));
    control.decide(nowUs + 1);
    assertTrue(
        transport.shedMessages.isEmpty() && transport.failedMessages.isEmpty(),
        "delivered: no other answer");
  }

  @Test
  void contradictorySettings_areRejectedWithReason() {
    final var none =
        assertThrows(IllegalArgumentException.class, () -> ScriptedController.fleetOf(0));
    assertTrue(none.getMessage().contains("at least one courier"), none.getMessage());
    assertThrows(
        IllegalArgumentException.class, () -> ScriptedController.settings(0, 1, false, false));
  }

  @Test
  void eventsOfUnknownMessage_areIgnored() {
    transport.controller.onMessageAbandoned(transport.nowUs, "unknown");
    transport.controller.onOutcome(
        transport.nowUs,
        new AttemptOutcome("unknown", AttemptResult.DELIVERED, true, 1, 1, 0, null));
    transport.controller.decide(transport.nowUs);
    assertTrue(
        transport.sentCalls.isEmpty()
            && transport.failedMessages.isEmpty()
            && transport.shedMessages.isEmpty());
  }
}
