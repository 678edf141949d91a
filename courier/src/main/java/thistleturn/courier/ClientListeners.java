package thistleturn.courier;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.TransientFailures;

/**
 * Opens the listeners for clients, one shard after the other; all share the port of the first one.
 * Used on the first event loop.
 */
final class ClientListeners {
  private static final String STEP_NAME = "listen";

  private final ServerContext context;
  private final StartupProgress progress;
  private final TakeoverCoordinator takeover;
  private final Consumer<String> onListening;

  /** Opens nothing yet; {@code onListening} receives the address once all listeners are open. */
  ClientListeners(
      final ServerContext context,
      final TakeoverCoordinator takeover,
      final Consumer<String> onListening) {
    this.context = context;
    this.progress = context.progress();
    this.takeover = takeover;
    this.onListening = onListening;
  }

  /** Opens all listeners; called again if a successor ends before this process. */
  void open() {
    open(0, context.config().listenAddress());
  }

  private void open(final int index, final InetSocketAddress address) {
    // Other shards, or a newer process, listen on the same address.
    final boolean sharesAddress = context.shards().size() > 1 || context.hasOperators();
    context
        .shards()
        .get(index)
        .listen(address, sharesAddress)
        .whenCompleteAsync(
            progress.step(
                STEP_NAME,
                (bound, failure) -> {
                  if (failure != null) {
                    onFailure(failure, () -> open(index, address));
                  } else if (index + 1 < context.shards().size()) {
                    open(index + 1, CourierConfig.parseAddress("listen", bound));
                  } else {
                    onListening.accept(bound);
                  }
                }),
            context.eventLoop());
  }

  private void onFailure(final Throwable failure, final Runnable openAgain) {
    if (progress.isDecided() && !context.lifecycle().isShuttingDown()) {
      // The process has served before, so the start no longer retries this.
      progress.logAndRetry("listen again", failure, openAgain);
    } else if (TransientFailures.isAddressInUse(failure) && takeover.requestClientAddress()) {
      // The JDK checks only once whether sockets may share an address, and treats a failure of that
      // check as unsupported.
      progress.retry(STEP_NAME, openAgain);
    } else if (takeover.hasRequestedClientAddress() && progress.hasTimeLeft()) {
      progress.retry(STEP_NAME, openAgain);
    } else {
      progress.retryOrFail(STEP_NAME, describe(failure), openAgain);
    }
  }

  private IOException describe(final Throwable failure) {
    return new IOException(
        "cannot listen on " + context.config().listenAddress() + ": " + failure.getMessage(),
        failure);
  }
}
