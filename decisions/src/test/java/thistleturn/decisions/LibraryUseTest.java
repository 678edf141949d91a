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

/** Runs the README's example as a host would write it, and checks the results of misuse. */
final class LibraryUseTest {
  private final ScriptedController transport =
      new ScriptedController(ScriptedController.settings());

  @Test
  void readmeExample_deliversMessage() {
    final DeliveryActions actions = transport;
    final DeliveryController controller =
        new OverloadController(ScriptedController.settings(), 7, actions);
    final long nowUs = transport.nowUs;
    controller.onEndpointList(
        nowUs,
        EndpointUpdate.COMPLETE_SNAPSHOT,
        List.of(ScriptedController.endpoint(1, ScriptedController.DESTINATION, "a")));
    controller.onMessage(
        nowUs,
        new Message(
            "m",
            0,
            -1,
            null,
            nowUs + 16 * ScriptedController.SECOND,
            ScriptedController.DESTINATION));
    controller.decide(nowUs);
    assertEquals(1, transport.attempts("m"));
    controller.onOutcome(
        nowUs + 1, new AttemptOutcome("m", AttemptResult.DELIVERED, true, 1, 1, 0, null));
    controller.decide(nowUs + 1);
    assertTrue(
        transport.shedMessages.isEmpty() && transport.failedMessages.isEmpty(),
        "a delivered message has no other outcome");
  }

  @Test
  void contradictorySettings_areRejectedWithReason() {
    final var rejected =
        assertThrows(IllegalArgumentException.class, () -> ScriptedController.fleetOf(0));
    assertTrue(rejected.getMessage().contains("at least one courier"), rejected.getMessage());
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
