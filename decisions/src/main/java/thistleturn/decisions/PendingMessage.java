package thistleturn.decisions;

import thistleturn.decisions.index.OrderedQueue;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;

/** A message that is owed an answer, or still has an attempt out. */
final class PendingMessage extends OrderedQueue.Entry {
  final MessageDeadline deadline = new MessageDeadline(this);
  final long sequence;
  final Message message;
  final MessageClass messageClass;
  final long objectiveUs;
  Destination destination;
  KeyQueue keyQueue;
  InFlightCall call;

  /** The endpoint that refused it last. */
  EndpointHealth rejectedBy;

  /** While it waits: among which, and its place in the line of its destination. */
  DeadlineGroup group;

  long queuePosition;
  int attempts;
  boolean overQuota, mayHaveExecuted, ended, waiting;
  long firstExecutionUs = OverloadController.NEVER;
  String executionZone = "";

  PendingMessage(final Message message, final MessageClass kind, final long number) {
    this.sequence = number;
    this.message = message;
    this.messageClass = kind;
    this.objectiveUs = message.validUntilUs() - kind.deadlineUs() + kind.latencyObjectiveUs();
  }

  /** True where handing it in again after a refusal can do no harm. */
  boolean mayShed() {
    return mayShed(messageClass, mayHaveExecuted);
  }

  static boolean mayShed(final MessageClass kind, final boolean mayHaveRun) {
    return !mayHaveRun
        || kind.idempotence() == Idempotence.IDEMPOTENT
        || (kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY && !kind.keyScopedToZone());
  }

  /** The zone in which a repeat would be known, where only that one is left; else null. */
  String requiredZone() {
    return mayHaveExecuted && messageClass.keyScopedToZone() ? executionZone : null;
  }

  /**
   * Until when it may be sent: a key that may be in use ends a message like its own deadline does.
   */
  long retryDeadlineUs() {
    return Math.min(
        message.validUntilUs(), messageClass.retryDeadlineUs(mayHaveExecuted, firstExecutionUs));
  }
}
