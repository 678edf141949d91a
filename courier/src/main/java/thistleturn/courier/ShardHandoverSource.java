package thistleturn.courier;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.handover.HandoverSource;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.journal.JournalHistory;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PermanentFailureException;
import thistleturn.courier.runtime.TransientFailures;
import thistleturn.courier.transport.ListenerSteering;
import thistleturn.decisions.model.AttemptResult;

/**
 * The older process's side of a takeover: hands over all that its only shard decides, with the
 * journal, and takes it back if the newer process ends first. Lives on the shard's event loop. The
 * other side is {@link TakeoverCoordinator}.
 */
final class ShardHandoverSource implements HandoverSource {
  private static final int SUCCESSOR_LOST_EXIT_STATUS = 75;

  /** Attempts to get the lock, which a process that has just ended may still hold. */
  private static final int LOCK_ATTEMPTS = 100;

  private static final long LOCK_RETRY_MS = 20;

  private final ServerContext context;
  private final Shard shard;
  private final DirectiveBroadcaster directives;
  private final ExternalInputs externalInputs;
  private final Runnable reopenListeners;

  /** The messages that clients have submitted since the handover; null before it. */
  private UnansweredSubmissions submissions;

  ShardHandoverSource(
      final ServerContext context,
      final DirectiveBroadcaster directives,
      final ExternalInputs externalInputs,
      final Runnable reopenListeners) {
    this.context = context;
    this.shard = context.shards().first();
    this.directives = directives;
    this.externalInputs = externalInputs;
    this.reopenListeners = reopenListeners;
  }

  @Override
  public HandoverSnapshot handOver(final Successor successor) throws IOException {
    ListenerSteering.prepare();
    submissions = new UnansweredSubmissions(successor, context.clock());
    final HandoverSnapshot snapshot = shard.decisionLoop().handOver(submissions);
    // From here on the successor decides, and a failure below must not prevent that.
    shard.releaseJournal();
    context.stateFolder().unlock();
    Log.info("handed over with " + snapshot.calls().size() + " calls out");
    return snapshot;
  }

  @Override
  public void abandonCall(final long call, final AttemptResult result) {
    shard.decisionLoop().abandonHandedOverCall(call, result);
  }

  @Override
  public void onSuccessorListening() {
    context.lifecycle().onSuccessorListening();
    shard.drainIngressForHandover();
  }

  @Override
  public void onSuccessorGone() {
    submissions.onSuccessorDisconnected();
    takeBack(LOCK_ATTEMPTS, context.clock().nowUs() + TransientFailures.RETRY_BUDGET_US);
  }

  /**
   * Decides again. The system releases the lock of a process that dies a moment before or after it
   * closes the connection to this one, so the lock is tried several times. Whether the calls of
   * that process have ended is another question ({@link EarlierProcesses}).
   */
  private void takeBack(final int lockAttemptsLeft, final long retryUntilUs) {
    try {
      if (context.stateFolder().tryLock()) {
        onFolderTakenBack();
      } else if (lockAttemptsLeft > 0) {
        scheduleTakeBack(lockAttemptsLeft - 1, retryUntilUs, LOCK_RETRY_MS);
      } else {
        throw new PermanentFailureException(
            "another process holds " + context.config().stateFolder());
      }
    } catch (final IOException | RuntimeException e) {
      onTakeBackFailed(e, retryUntilUs);
    }
  }

  private void onFolderTakenBack() throws IOException {
    final JournalHistory history =
        JournalHistory.read(context.config().stateFolder(), submissions.forwardedIds());
    if (context.lifecycle().isShuttingDown()) {
      // The next process delivers what the journal holds.
      submissions.rejectRemaining(history);
      context.stateFolder().unlock();
    } else {
      decideAgain(history);
    }
  }

  private void decideAgain(final JournalHistory history) throws IOException {
    externalInputs.readAgain();
    final EarlierProcesses earlier = context.stateFolder().lock().earlierProcessesAfterTakeBack();
    context.shards().openJournals(context.stateFolder(), earlier);
    Log.info("the newer process has ended: this one takes up again");
    shard.replaceDecisionLoop(
        new DecisionLoopReplacement.Setup(
            directives.disabledEndpoints(), directives.observerForShards()));
    submissions.settleBy(history, shard.decisionLoop());
    reopenListeners.run();
  }

  private void onTakeBackFailed(final Exception failure, final long retryUntilUs) {
    if (TransientFailures.isTransient(failure) && context.clock().nowUs() < retryUntilUs) {
      Log.event(Event.START_RETRIED, "step", "take up again", "cause", failure);
      context.stateFolder().unlock();
      scheduleTakeBack(LOCK_ATTEMPTS, retryUntilUs, TransientFailures.RETRY_DELAY_MS);
      return;
    }
    submissions.rejectRemaining(JournalHistory.unknown());
    if (context.lifecycle().isShuttingDown()) {
      return;
    }
    Log.info("the newer process has ended, and so does this one: " + failure.getMessage());
    // Not on the event loop, which the shutdown hook needs.
    new Thread(() -> System.exit(SUCCESSOR_LOST_EXIT_STATUS), "successor lost").start();
  }

  private void scheduleTakeBack(
      final int lockAttempts, final long retryUntilUs, final long delayMs) {
    submissions.rejectOverdue();
    context
        .eventLoop()
        .schedule(() -> takeBack(lockAttempts, retryUntilUs), delayMs, TimeUnit.MILLISECONDS);
  }
}
