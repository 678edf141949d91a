package thistleturn.courier;

import java.util.List;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.directives.Directive;

/** The role of a loop that does not decide: events that concern only decisions are ignored. */
abstract class NonDecidingRole implements LoopRole {
  @Override
  public final boolean isDeciding() {
    return false;
  }

  @Override
  public final void onRetryAfter(final long endpoint, final long retryAfterUs) {
    // The process that decides learns it from its own calls.
  }

  @Override
  public void onAnswerConfirmed(final PendingDelivery delivery) {
    // The outcome was passed on, or the journal keeps the attempt in flight.
  }

  @Override
  public void onRejectionInDoubt(final PendingDelivery delivery, final Dispatcher.Call call) {
    // The outcome was passed on, or the journal keeps what is known.
  }

  @Override
  public void onAnswerInDoubt(
      final PendingDelivery delivery, final Dispatcher.Call call, final boolean mayBeEnd) {
    // The outcome was passed on, or the journal keeps the attempt in flight.
  }

  @Override
  public void onEndStated(final PendingDelivery delivery, final Dispatcher.Call call) {
    // The process that decides next finds the attempt in the journal.
  }

  @Override
  public final void onInterruptionEnded(final PendingDelivery delivery) {
    // The process that decides next finds the attempt in the journal.
  }

  @Override
  public final void onConfirmed(final List<StoredMessage> messages) {
    // The process that decides next reports them once more, which is harmless.
  }

  @Override
  public final void onProcessPaused(final long pausedUs) {
    // No time-outs are evaluated here.
  }

  @Override
  public final void onConnectivityRestored(final long nowUs, final long cutOffSinceUs) {
    // No destinations are evaluated here.
  }

  @Override
  public final void applyDirective(final long destination, final Directive directive) {
    // No calls are decided here.
  }
}
