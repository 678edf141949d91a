package thistleturn.courier;

import java.util.List;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.directives.Directive;

/** The role of a loop that decides nothing: what matters to decisions alone is ignored. */
abstract class NonDecidingRole implements LoopRole {
  @Override
  public final boolean isDeciding() {
    return false;
  }

  @Override
  public final void onRetryAfter(final long endpoint, final long retryAfterUs) {
    // Whoever decides learns it from its own calls.
  }

  @Override
  public final void onInterruptionEnded(final PendingDelivery delivery) {
    // Whoever decides next finds the attempt in the journal.
  }

  @Override
  public final void onConfirmed(final List<StoredMessage> messages) {
    // Whoever decides next reports them once more, which is harmless.
  }

  @Override
  public final void onProcessPaused(final long pausedUs) {
    // Nothing is judged here.
  }

  @Override
  public final void onConnectivityRestored(final long nowUs, final long cutOffSinceUs) {
    // Nothing is judged here.
  }

  @Override
  public final void applyDirective(final long destination, final Directive directive) {
    // No calls are decided here.
  }
}
