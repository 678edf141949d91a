package thistleturn.courier;

import java.util.Set;
import thistleturn.courier.handover.HandoverClient;
import thistleturn.courier.handover.RemoteCallExecutor;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StateObserver;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.model.AttemptResult;

/**
 * Connects a decision loop that had handed over with the loop that replaces it in the same process:
 * the new loop decides, the old one completes its calls in flight and reports their outcomes.
 */
final class DecisionLoopReplacement implements Successor, RemoteCallExecutor {
  private final DecisionLoop replaced;
  private final DecisionLoop current;

  /**
   * The settings of the new decision loop.
   *
   * @param disabledEndpoints the endpoints that are administratively disabled
   * @param observer the observer to notify of changes, or null
   */
  record Setup(Set<String> disabledEndpoints, StateObserver observer) {}

  private DecisionLoopReplacement(final DecisionLoop replaced, final DecisionLoop current) {
    this.replaced = replaced;
    this.current = current;
  }

  /** Makes {@code current} decide in place of {@code replaced}, and returns {@code current}. */
  static DecisionLoop replace(
      final DecisionLoop replaced, final DecisionLoop current, final Setup setup) {
    current.continueCountersOf(replaced);
    current.setDisabledEndpoints(setup.disabledEndpoints());
    if (setup.observer() != null) {
      current.setObserver(setup.observer());
    }
    final DecisionLoopReplacement link = new DecisionLoopReplacement(replaced, current);
    final int resumed = current.startAgain(replaced.handOverAgain(link), link);
    Log.info("resumed " + resumed + " messages");
    return current;
  }

  @Override
  public void submit(
      final StoredMessage message, final long validUntilUs, final Ingress.Reply reply) {
    current.predecessorEvents().onMessageSubmitted(message, reply);
  }

  @Override
  public void withdraw(final Submission submission) {
    current.withdraw(submission);
  }

  @Override
  public void reportOutcome(
      final long call, final String messageId, final Dispatcher.DispatchOutcome outcome) {
    current.predecessorEvents().onRemoteOutcome(messageId, outcome);
  }

  @Override
  public void reloadConfiguration() {
    // The current decision loop reloads it itself.
  }

  @Override
  public void setListener(final HandoverClient.Listener listener) {
    // The listener is always the current decision loop.
  }

  @Override
  public void abandonCall(final long call, final AttemptResult result) {
    replaced.abandonHandedOverCall(call, result);
  }
}
