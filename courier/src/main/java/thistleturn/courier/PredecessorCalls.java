package thistleturn.courier;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistleturn.courier.handover.RemoteCallExecutor;
import thistleturn.decisions.model.AttemptResult;

/** The attempts that an older process of this courier still carries out for this one. */
final class PredecessorCalls {
  private final Map<String, DeliveryAttempt> attemptsByMessageId = new HashMap<>();
  private RemoteCallExecutor executor;

  /** Sets the process at which calls are abandoned from now on. */
  void connect(final RemoteCallExecutor predecessor) {
    executor = predecessor;
  }

  void add(final String messageId, final DeliveryAttempt attempt) {
    attemptsByMessageId.put(messageId, attempt);
  }

  /** Returns a message's attempt; null if the predecessor carries out none. */
  DeliveryAttempt get(final String messageId) {
    return attemptsByMessageId.get(messageId);
  }

  /** Removes and returns a message's attempt; null if the predecessor carries out none. */
  DeliveryAttempt remove(final String messageId) {
    return attemptsByMessageId.remove(messageId);
  }

  /** Returns the ids of all messages in such calls. */
  List<String> messageIds() {
    return List.copyOf(attemptsByMessageId.keySet());
  }

  void abandon(final RemoteCall call, final AttemptResult result) {
    executor.abandonCall(call.number(), result);
  }
}
