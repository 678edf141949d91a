package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.MessageStore.FlushResult;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.CourierConfig;

/** Which effects take place, and when, by the result of the journal's last flush. */
@Tag("faults")
final class DurableEffectsTest {
  private static final long NOW_US = 1_000_000;

  private final List<String> executed = new ArrayList<>();
  private final DurableEffects effects =
      new DurableEffects(new RecordingExecutor(), new RecordingNotifier());

  private final class RecordingExecutor implements DurableEffects.Executor {
    @Override
    public void accept(final PendingDelivery delivery) {
      executed.add("accept " + delivery.id());
      if (delivery.id().equals("bad")) {
        throw new IllegalStateException("its answer fails");
      }
    }

    @Override
    public void rejectUnjournaled(final PendingDelivery delivery) {
      executed.add("refuse " + delivery.id());
    }

    @Override
    public void startCall(final Dispatcher.Call call) {
      executed.add("start");
    }

    @Override
    public void dropCall(final Dispatcher.Call call) {
      executed.add("drop");
    }
  }

  private final class RecordingNotifier implements OutcomeNotifier {
    @Override
    public void enqueue(final StoredMessage message) {
      executed.add("end " + message.id());
    }

    @Override
    public void flush() {
      // Not needed here.
    }

    @Override
    public boolean isEmpty() {
      return true;
    }

    @Override
    public void reload(final CourierConfig fresh) {
      // Not needed here.
    }
  }

  private static final class IgnoringReply implements Ingress.Reply {
    @Override
    public void accepted() {
      // Not needed here.
    }

    @Override
    public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
      // Not needed here.
    }

    @Override
    public void failed() {
      // Not needed here.
    }

    @Override
    public void invalid(final Ingress.InvalidReason reason) {
      // Not needed here.
    }
  }

  private static StoredMessage storedMessage(final String id, final long deadlineUs) {
    return new StoredMessage(id, "safe", null, 1, deadlineUs, new byte[0]);
  }

  private static PendingDelivery pendingDelivery(final String id) {
    return new PendingDelivery(
        storedMessage(id, 2 * NOW_US), null, 2 * NOW_US, new IgnoringReply());
  }

  private void addOneOfEach() {
    effects.addAcceptance(pendingDelivery("m"), NOW_US);
    effects.addRejection(() -> executed.add("refusal"), NOW_US);
    effects.addCall(
        new Dispatcher.Call() {
          @Override
          public long endpoint() {
            return 1;
          }

          @Override
          public long preparedUs() {
            return NOW_US;
          }
        });
    effects.addFinalOutcome(storedMessage("later", 2 * NOW_US));
    effects.addFinalOutcome(storedMessage("due", NOW_US));
  }

  @Test
  void durableFlushRunsEveryEffectInOrder() {
    addOneOfEach();
    effects.runAfterFlush(FlushResult.DURABLE, NOW_US);
    assertEquals(List.of("refusal", "accept m", "start", "end later", "end due"), executed);
  }

  @Test
  void failedFlushRejectsAndReportsOnlyExpiredOutcomes() {
    addOneOfEach();
    effects.runAfterFlush(FlushResult.FAILED, NOW_US);
    assertEquals(List.of("refusal", "refuse m", "drop", "end due"), executed);
    executed.clear();
    effects.runAfterFlush(FlushResult.FAILED, 2 * NOW_US);
    assertEquals(List.of("end later"), executed, "it has expired now");
  }

  @Test
  void unknownFlushWaitsThenRejects() {
    addOneOfEach();
    effects.runAfterFlush(FlushResult.UNKNOWN, NOW_US);
    assertEquals(List.of("drop", "end due"), executed);
    executed.clear();
    effects.runAfterFlush(FlushResult.UNKNOWN, NOW_US + 250_000);
    assertEquals(
        List.of("refusal", "refuse m"), executed, "its client waits no longer than 400 ms");
  }

  @Test
  void failingEffectDoesNotStopTheOthers() {
    effects.addRejection(
        () -> {
          throw new IllegalStateException("its connection fails");
        },
        NOW_US);
    effects.addAcceptance(pendingDelivery("bad"), NOW_US);
    effects.addAcceptance(pendingDelivery("good"), NOW_US);
    effects.addFinalOutcome(storedMessage("ended", NOW_US));
    effects.runAfterFlush(FlushResult.DURABLE, NOW_US);
    assertEquals(List.of("accept bad", "accept good", "end ended"), executed);
  }
}
