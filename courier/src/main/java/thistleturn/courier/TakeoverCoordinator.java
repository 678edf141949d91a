package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.runtime.Log;

/**
 * The newer process's side of a takeover: has the process that holds the state folder hand over,
 * and has it give up the clients' address. Lives on the first event loop. The other side is {@link
 * ShardHandoverSource}.
 */
final class TakeoverCoordinator {
  /** The delay before a process that cannot hand over now is asked again. */
  private static final long HANDOVER_RETRY_MS = 50;

  private static final String STEP_NAME = "take over";

  /** The state of the address at which clients are to be accepted, as far as this process knows. */
  private enum ClientAddress {
    /** No older process handed over to this one. */
    UNCONTESTED,
    /** The older process listens there until this one does too. */
    SHARED_WITH_PREDECESSOR,
    /** The older process was asked to stop listening before this one does. */
    REQUESTED_FROM_PREDECESSOR
  }

  private final ServerContext context;
  private final EventLoop eventLoop;
  private final StartupProgress progress;
  private final StateFolder stateFolder;
  private final ExternalInputs externalInputs;
  private final BiConsumer<HandoverSnapshot, HandoverClient> onHandover;
  private final Runnable onFolderFree;
  private ClientAddress clientAddress = ClientAddress.UNCONTESTED;

  /** Null unless an older process handed over to this one. */
  private HandoverClient predecessor;

  /**
   * Creates the newer side of a takeover. Exactly one of the two callbacks is called, once this
   * process holds the state folder and its journals are open.
   *
   * @param onHandover the other process handed over
   * @param onFolderFree the other process ended without having handed over
   */
  TakeoverCoordinator(
      final ServerContext context,
      final ExternalInputs externalInputs,
      final BiConsumer<HandoverSnapshot, HandoverClient> onHandover,
      final Runnable onFolderFree) {
    this.context = context;
    this.externalInputs = externalInputs;
    this.eventLoop = context.eventLoop();
    this.progress = context.progress();
    this.stateFolder = context.stateFolder();
    this.onHandover = onHandover;
    this.onFolderFree = onFolderFree;
  }

  /** Takes the state folder from the process that holds it, which goes on serving until then. */
  void takeOver() {
    Log.info(context.config().name() + " takes over from the process that serves");
    new TakeoverWarmUp(context.config(), eventLoop, context.clock())
        .runThen(() -> progress.run(STEP_NAME, this::requestHandover));
  }

  private void requestHandover() {
    final AtomicReference<HandoverClient> client = new AtomicReference<>();
    client.set(
        HandoverClient.requestHandover(
            eventLoop,
            context.config().stateFolder(),
            snapshot -> progress.run("succeed", () -> acceptHandover(snapshot, client.get())),
            () -> progress.run(STEP_NAME, this::takeFolderOrRetry)));
  }

  private void acceptHandover(final HandoverSnapshot snapshot, final HandoverClient from) {
    try {
      if (!stateFolder.tryLock()) {
        throw new IOException(context.config().stateFolder() + ": handed over, but still in use");
      }
      externalInputs.readAgain();
      context
          .shards()
          .openJournals(stateFolder, stateFolder.lock().earlierProcessesAfterHandover());
    } catch (final IOException e) {
      stateFolder.unlock();
      progress.retryOrFail("succeed", e, () -> acceptHandover(snapshot, from));
      return;
    }
    predecessor = from;
    clientAddress = ClientAddress.SHARED_WITH_PREDECESSOR;
    onHandover.accept(snapshot, from);
  }

  /** Handles a process that does not hand over now: it may have ended, or must be asked again. */
  private void takeFolderOrRetry() {
    try {
      if (!stateFolder.tryLock()) {
        progress.retryAfter(HANDOVER_RETRY_MS, STEP_NAME, this::requestHandover);
        return;
      }
      externalInputs.readAgain();
      context.shards().openJournals(stateFolder, stateFolder.lock().earlierProcesses());
    } catch (final IOException e) {
      stateFolder.unlock();
      progress.retryOrFail(STEP_NAME, e, this::requestHandover);
      return;
    }
    onFolderFree.run();
  }

  /**
   * Asks the older process to stop listening at the clients' address before this process listens
   * there. Returns false if there is no such process, or if it was asked before.
   */
  boolean requestClientAddress() {
    if (clientAddress != ClientAddress.SHARED_WITH_PREDECESSOR) {
      return false;
    }
    clientAddress = ClientAddress.REQUESTED_FROM_PREDECESSOR;
    predecessor.announceListening();
    return true;
  }

  /** Returns whether the older process was asked to stop listening before this process listens. */
  boolean hasRequestedClientAddress() {
    return clientAddress == ClientAddress.REQUESTED_FROM_PREDECESSOR;
  }
}
