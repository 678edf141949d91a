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

/** Which effects are carried out, and when, for each result of the last journal flush. */
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
        throw new IllegalStateException("the answer fails");
      }
    }

    @Override
    public void rejectUnjournaled(final PendingDelivery delivery) {
      executed.add("reject " + delivery.id());
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
      executed.add("outcome " + message.id());
    }

    @Override
    public void flush() {
      // Not needed by these tests.
    }

    @Override
    public boolean isEmpty() {
      return true;
    }

    @Override
    public void reload(final CourierConfig fresh) {
      // Not needed by these tests.
    }
  }

  private static final class IgnoringReply implements Ingress.Reply {
    @Override
    public void accepted() {
      // Not needed by these tests.
    }

    @Override
    public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
      // Not needed by these tests.
    }

    @Override
    public void failed() {
      // Not needed by these tests.
    }

    @Override
    public void invalid(final Ingress.InvalidReason reason) {
      // Not needed by these tests.
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
    effects.addRejection(() -> executed.add("rejection"), NOW_US);
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
  void durableFlush_runsEveryEffectInOrder() {
    addOneOfEach();
    effects.runAfterFlush(FlushResult.DURABLE, NOW_US);
    assertEquals(
        List.of("rejection", "accept m", "start", "outcome later", "outcome due"), executed);
  }

  @Test
  void failedFlush_rejectsAndReportsOnlyExpiredOutcomes() {
    addOneOfEach();
    effects.runAfterFlush(FlushResult.FAILED, NOW_US);
    assertEquals(List.of("rejection", "reject m", "drop", "outcome due"), executed);
    executed.clear();
    effects.runAfterFlush(FlushResult.FAILED, 2 * NOW_US);
    assertEquals(List.of("outcome later"), executed, "the message has expired by now");
  }

  @Test
  void unknownFlush_waitsThenRejects() {
    addOneOfEach();
    effects.runAfterFlush(FlushResult.UNKNOWN, NOW_US);
    assertEquals(List.of("drop", "outcome due"), executed);
    executed.clear();
    effects.runAfterFlush(FlushResult.UNKNOWN, NOW_US + 250_000);
    assertEquals(
        List.of("rejection", "reject m"), executed, "the client waits no longer than 400 ms");
  }

  @Test
  void failingEffect_doesNotStopOthers() {
    effects.addRejection(
        () -> {
          throw new IllegalStateException("the connection fails");
        },
        NOW_US);
    effects.addAcceptance(pendingDelivery("bad"), NOW_US);
    effects.addAcceptance(pendingDelivery("good"), NOW_US);
    effects.addFinalOutcome(storedMessage("ended", NOW_US));
    effects.runAfterFlush(FlushResult.DURABLE, NOW_US);
    assertEquals(List.of("accept bad", "accept good", "outcome ended"), executed);
  }
}
