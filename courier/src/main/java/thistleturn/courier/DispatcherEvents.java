package thistleturn.courier;

import java.util.function.Supplier;
import thistleturn.courier.port.Dispatcher;

/** Passes what the dispatcher reports to the present role of a decision loop. */
final class DispatcherEvents implements Dispatcher.Listener {
  private final Supplier<LoopRole> role;
  private final DeliveryCounters counters;

  DispatcherEvents(final Supplier<LoopRole> role, final DeliveryCounters counters) {
    this.role = role;
    this.counters = counters;
  }

  private static PendingDelivery delivery(final Dispatcher.Attempt attempt) {
    return ((DeliveryAttempt) attempt).delivery();
  }

  @Override
  public void onOutcome(
      final Dispatcher.Attempt attempt,
      final Dispatcher.Call call,
      final Dispatcher.DispatchOutcome outcome) {
    role.get().onOutcome(delivery(attempt), call, outcome);
  }

  @Override
  public void onRetryAfter(final long endpoint, final long retryAfterUs) {
    role.get().onRetryAfter(endpoint, retryAfterUs);
  }

  @Override
  public void onAnswerConfirmed(final Dispatcher.Attempt attempt) {
    role.get().onAnswerConfirmed(delivery(attempt));
  }

  @Override
  public void onAnswerInDoubt(
      final Dispatcher.Attempt attempt, final Dispatcher.Call call, final boolean mayBeEnd) {
    role.get().onAnswerInDoubt(delivery(attempt), call, mayBeEnd);
  }

  @Override
  public void onRejectionInDoubt(final Dispatcher.Attempt attempt, final Dispatcher.Call call) {
    role.get().onRejectionInDoubt(delivery(attempt), call);
  }

  @Override
  public void onEndStated(final Dispatcher.Attempt attempt, final Dispatcher.Call call) {
    role.get().onEndStated(delivery(attempt), call);
  }

  @Override
  public void onMessagesWritten(final int count) {
    counters.addMessagesWritten(count);
  }
}
